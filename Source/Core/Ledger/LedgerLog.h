// One shard's log in the store: recovery, fence, group commits, snapshots.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/CommitPacer.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/Lifetime.h"
#include "Ledger/LogEntry.h"
#include "Ledger/ShardIndex.h"
#include "Ledger/SnapshotWriter.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/StorePort.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ledger {

/// The log is a ring of slots. Entry n goes to slot n modulo the ring, by compare-and-swap on the revision that the
/// slot had; slots are never removed. Invariants: an owner that was replaced can't commit, for its successor has
/// written the slot of its next entry; a slot is written over only when a named snapshot holds its entry.
class LedgerLog {
public:
    struct Ticket {
        uint64_t value = 0;
    };
    enum class Urgency {
        /// Somebody waits for it.
        Eager,
        /// Goes with the next commit, or after lazyCommitDelay.
        Lazy,
    };
    struct Recovered {
        std::vector<std::string> snapshotParts;
        /// Of all entries after the snapshot, in order.
        std::vector<LedgerDelta> deltas;
    };
    /// Yields the state that all commits so far have made, in parts.
    using SnapshotSource = std::function<std::vector<std::string>()>;

    LedgerLog(const Scheduler::ServiceContext&, Scheduler::StorePort&, ShardIndex, const Common::DaemonId&,
        const LedgerSettings&);

    /// Reads everything, then writes an entry of its own as the fence. Any failure leaves the log without an owner
    /// here.
    void recover(Common::Callback<Recovered>);
    void setSnapshotSource(SnapshotSource source) { m_snapshotSource = std::move(source); }
    /// Called once, when another owner has taken the shard over. The log may be destroyed in the call.
    void onFenced(std::function<void()> action) { m_onFenced = std::move(action); }

    /// Commits the delta with whatever else waits. Waits as long as the store is away. Fails only when the shard is
    /// lost: NotOwner when it was surely not committed, OutcomeUnknown when it may have been.
    Ticket append(std::string delta, Urgency, Common::Callback<Common::Done>);
    /// Takes back a delta that wasn't sent yet; its callback is not called. False when it was sent.
    bool withdraw(Ticket);
    /// Commits what waits and an entry that gives the shard up. Append nothing after.
    void release(std::function<void()> done);

    uint64_t epoch() const { return m_epoch; }
    size_t waiting() const { return m_queue.size(); }

private:
    struct Pending {
        Ticket ticket;
        std::string delta;
        Urgency urgency = Urgency::Eager;
        Common::Callback<Common::Done> done;
    };
    struct Commit {
        LogEntry head;
        std::string value;
        std::vector<Pending> batch;
        /// An answer was lost: the entry may be in the log.
        bool doubtful = false;
        Common::MonotonicTime sentAt {};
    };
    enum class State {
        Away,
        Recovering,
        Owned,
        Fenced,
        Released,
    };

    std::string slotKey(uint64_t number) const;
    std::string snapshotPrefix(uint32_t side) const;
    Common::StoreRevision& slotRevision(uint64_t number);
    std::string newCommitId();

    void takeLog(const std::vector<Scheduler::StoreValue>&, Common::Callback<Recovered>);
    void takeSnapshot(
        const std::vector<Scheduler::StoreValue>&, std::vector<LogEntry>, const Common::Callback<Recovered>&);
    void fence(Recovered, const Common::Callback<Recovered>&);
    void checkFence(const LogEntry& head, Recovered, const Common::Callback<Recovered>&);
    void own(const LogEntry& head, Common::StoreRevision, Recovered, const Common::Callback<Recovered>&);
    void failRecovery(const Common::Failure&, const Common::Callback<Recovered>&);

    void pumpSoon(Common::Duration);
    void pump();
    bool hasWork() const;
    bool hasUrgentWork() const;
    bool ringHasRoom() const;
    void buildCommit();
    void send();
    void onSent(const Common::Result<Common::StoreRevision>&);
    void readBack();
    void onReadBack(const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void retry(void (LedgerLog::*step)());
    void committed(Common::StoreRevision);
    void beFenced();
    void checkOwnershipLater();
    void checkOwnership(uint64_t lastBefore);
    void onOwnershipChecked(uint64_t next, const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void snapshotIfDue();

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    ShardIndex m_shard;
    Common::DaemonId m_self;
    const LedgerSettings& m_settings;
    State m_state = State::Away;
    uint64_t m_last = 0;
    uint64_t m_epoch = 0;
    /// The snapshot that the last entry names.
    SnapshotName m_snapshot;
    /// A complete snapshot that the next entry will name.
    std::optional<SnapshotName> m_nextSnapshot;
    std::vector<Common::StoreRevision> m_slotRevisions;
    std::deque<Pending> m_queue;
    /// Invariant: while set, nothing else is written to the ring. Gone once the shard is lost, whatever is under way.
    std::optional<Commit> m_commit;
    uint64_t m_lastTicket = 0;
    uint64_t m_lastCommitId = 0;
    CommitPacer m_pacer;
    Common::Duration m_retryPause {};
    std::optional<Common::MonotonicTime> m_pumpAt;
    bool m_releasing = false;
    SnapshotSource m_snapshotSource;
    SnapshotWriter m_snapshotWriter;
    std::function<void()> m_onFenced;
    std::function<void()> m_onReleased;
    Lifetime m_lifetime;
};

} // namespace Ledger
