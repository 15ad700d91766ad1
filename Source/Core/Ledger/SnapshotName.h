// Which snapshot a log entry builds on.
#pragma once

#include <cstdint>

namespace Ledger {

/// Invariant: all parts are in the store before an entry names them, and nothing writes over them until an entry names
/// the other side.
struct SnapshotName {
    /// Side of the pair: 0 is "a", 1 is "b".
    uint32_t side = 1;
    /// The snapshot holds the effect of all entries up to this one. Zero: there is none yet.
    uint64_t upTo = 0;
    uint32_t parts = 0;
};

} // namespace Ledger
