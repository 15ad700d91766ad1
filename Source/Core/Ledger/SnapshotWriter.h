// Writes the parts of a snapshot to the store, one after another, for LedgerLog.
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

/// A part starts with a line that contains its epoch. A part of a higher epoch is never overwritten: each write is a
/// compare-and-swap on the revision at which the part's epoch was checked, so a replaced owner can't damage its
/// successor's snapshot.
class SnapshotWriter {
public:
    /// Called with true when all parts are written, with false if a part of a higher epoch was found.
    using Done = std::function<void(bool)>;

    SnapshotWriter(const Scheduler::ServiceContext&, Scheduler::StorePort&, const LedgerSettings&);

    bool isBusy() const { return m_busy; }
    /// Retries each part until it is written or a part of a higher epoch is found. Only one snapshot is written at a
    /// time.
    void write(const std::string& prefix, uint64_t epoch, const SnapshotName&, std::vector<std::string> parts, Done);

    static std::string partKey(const std::string& prefix, uint32_t part);
    /// Returns the records of the part if it belongs to that snapshot, else nothing.
    static std::optional<std::string> recordsOf(const std::string& value, const SnapshotName&);

private:
    void writeNextPart();
    void readPart();
    void onPartRead(const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void writePart(Common::StoreRevision);
    void onPartWritten(Common::StoreRevision);
    void retryPart();
    void finish(bool complete);

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    const LedgerSettings& m_settings;
    bool m_busy = false;
    std::string m_prefix;
    uint64_t m_epoch = 0;
    std::vector<std::string> m_values;
    size_t m_part = 0;
    /// Store revision of each part that this process wrote last, by key.
    std::map<std::string, Common::StoreRevision> m_revisions;
    Common::Duration m_retryPause {};
    Done m_done;
    Lifetime m_lifetime;
};

} // namespace Ledger
