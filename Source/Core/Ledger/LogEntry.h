// One entry of a shard's log: a group commit.
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
    /// Starts at 1, without gaps.
    uint64_t number = 0;
    Common::DaemonId owner;
    /// Increases by one with each takeover.
    uint64_t epoch = 0;
    /// Unique. After a lost answer it shows whether the write in the slot is this entry or another owner's.
    std::string commitId;
    SnapshotName snapshot;
    /// The owner released the shard with this entry.
    bool released = false;
    std::vector<LedgerDelta> deltas;
};

/// Encodes an entry; `head.deltas` is ignored. `deltas` are encoded already, so that each is encoded only once however
/// often its entry is built or sent.
std::string encodeEntry(const LogEntry& head, const std::vector<std::string>& deltas);
/// Fails with ProtocolError if the value is malformed.
Common::Result<LogEntry> decodeEntry(const std::string& value);

} // namespace Ledger
