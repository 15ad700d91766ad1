// A poll of a worker that one host carries out for another one, which doesn't reach the worker.
#pragma once

#include "Cells/CellId.h"
#include "Cells/WorkerOrders.h"
#include "Common/Units.h"

#include <optional>

namespace Cells {

/// It acknowledges no ends and doesn't wait: it may be carried out late.
struct PollForHost {
    WorkerTarget worker;
    FencingToken token;
    /// Empty: the lease isn't extended.
    std::optional<Common::WorkerTime> leaseUntil;
};

} // namespace Cells
