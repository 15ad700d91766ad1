// A shard that this process owns or is recovering: its log and the state built from it.
#pragma once

#include "Common/Result.h"
#include "Ledger/LedgerLog.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/ShardIndex.h"
#include "Ledger/ShardState.h"
#include "Scheduler/ServiceContext.h"

#include <cstdint>
#include <functional>

namespace Ledger {

/// Invariant: `state()` is the result of all committed deltas, minus the records that retention has dropped.
class LedgerShard {
public:
    LedgerShard(const Scheduler::ServiceContext&, Scheduler::StorePort&, ShardIndex, const Common::DaemonId&,
        const LedgerSettings&);

    /// Takes over the shard and rebuilds its state. Fails as LedgerLog::recover() does, or with ProtocolError if the
    /// snapshot is malformed.
    void recover(Common::Callback<Common::Done>);
    void onFenced(std::function<void()> action) { m_log.onFenced(std::move(action)); }
    void release(std::function<void()> done) { m_log.release(std::move(done)); }

    ShardIndex index() const { return m_index; }
    uint64_t epoch() const { return m_log.epoch(); }
    const ShardState& state() const { return m_state; }
    /// Makes the change durable, applies it, then calls `done`. Fails as LedgerLog::append() does.
    LedgerLog::Ticket commit(
        LedgerDelta, Common::Callback<Common::Done>, LedgerLog::Urgency = LedgerLog::Urgency::Eager);
    bool withdraw(LedgerLog::Ticket ticket) { return m_log.withdraw(ticket); }
    size_t pendingCount() const { return m_log.pendingCount(); }

    /// Drop the records whose retention has passed, and return their ids.
    std::vector<Common::RequestId> pruneIntents();
    std::vector<Common::JobId> pruneJobs();

private:
    Common::Result<Common::Done> replay(const LedgerLog::Recovered&);

    Scheduler::ServiceContext m_context;
    ShardIndex m_index;
    const LedgerSettings& m_settings;
    ShardState m_state;
    LedgerLog m_log;
};

} // namespace Ledger
