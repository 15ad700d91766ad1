// Identifies the snapshot on which a log entry builds.
#pragma once

#include <cstdint>

namespace Ledger {

/// Snapshots alternate between two sides. Invariant: all parts are in the store before an entry names them, and they
/// are not overwritten until an entry names the other side.
struct SnapshotName {
    /// 0 is side "a", 1 is side "b".
    uint32_t side = 1;
    /// The snapshot contains the effect of all entries up to this number. Zero means there is no snapshot yet.
    uint64_t upTo = 0;
    uint32_t parts = 0;
};

} // namespace Ledger
