// One slot of a shard's log: a group commit.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/LedgerDelta.h"
#include "Ledger/SnapshotName.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Ledger {

struct LogEntry {
    /// From 1, without gaps.
    uint64_t number = 0;
    Common::DaemonId owner;
    /// Grows by one with each takeover.
    uint64_t epoch = 0;
    /// Unique; tells a lost answer's write from another's.
    std::string commitId;
    SnapshotName snapshot;
    /// The owner gave the shard up with this entry.
    bool released = false;
    std::vector<LedgerDelta> deltas;
};

/// `deltas` are already encoded, so that each is encoded once however often its entry is cut or sent.
std::string encodeEntry(const LogEntry& head, const std::vector<std::string>& deltas);
Common::Result<LogEntry> decodeEntry(const std::string& value);

} // namespace Ledger
