// Ids and versions of cells.
#pragma once

#include "Common/StrongId.h"

#include <compare>
#include <cstdint>

namespace Cells {

/// A cell: some workers of one failure domain, and the jobs that run on them ("catania-0").
using CellId = Common::StrongId<struct CellIdTag>;

/// Grows with each change of a cell's owner. Workers refuse orders that carry a lower one than they have seen.
struct FencingToken {
    uint64_t value = 0;
    auto operator<=>(const FencingToken&) const = default;
};

} // namespace Cells
