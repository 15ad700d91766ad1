// Writes one snapshot's parts to the store, one after the other.
#pragma once

#include "Common/Result.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/Lifetime.h"
#include "Ledger/SnapshotName.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/StorePort.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ledger {

/// A part starts with a line that names its epoch. A part of a higher epoch is never written over: since each write
/// swaps the revision under which a lower epoch was seen, a replaced owner can't spoil its successor's snapshot.
class SnapshotWriter {
public:
    /// True when all parts are written; false when another owner was met.
    using Done = std::function<void(bool)>;

    SnapshotWriter(const Scheduler::ServiceContext&, Scheduler::StorePort&, const LedgerSettings&);

    bool busy() const { return m_busy; }
    /// Tries each part until it is written or another owner is met.
    void write(const std::string& prefix, uint64_t epoch, const SnapshotName&, std::vector<std::string> parts, Done);

    static std::string partKey(const std::string& prefix, uint32_t part);
    /// The part's records if it belongs to that snapshot.
    static std::optional<std::string> recordsOf(const std::string& value, const SnapshotName&);

private:
    void next();
    void look();
    void onLooked(const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void put(Common::StoreRevision);
    void written(Common::StoreRevision);
    void retry();
    void finish(bool complete);

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    const LedgerSettings& m_settings;
    bool m_busy = false;
    std::string m_prefix;
    uint64_t m_epoch = 0;
    std::vector<std::string> m_values;
    size_t m_part = 0;
    /// Of this process's own last writes.
    std::map<std::string, Common::StoreRevision> m_revisions;
    Common::Duration m_retryPause {};
    Done m_done;
    Lifetime m_lifetime;
};

} // namespace Ledger
