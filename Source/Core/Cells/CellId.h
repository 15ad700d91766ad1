// Ids and versions of cells.
#pragma once

#include "Common/StrongId.h"

#include <compare>
#include <cstdint>

namespace Cells {

/// A cell: some workers of one failure domain, and the jobs that run on them ("catania-0").
using CellId = Common::StrongId<struct CellIdTag>;

/// Workers reject orders with a lower token than the highest they have seen. Increases with each change of a cell's
/// owner and, in its orders to a worker, with each new life of that worker; see TokenRange.
struct FencingToken {
    uint64_t value = 0;
    auto operator<=>(const FencingToken&) const = default;
};

} // namespace Cells
