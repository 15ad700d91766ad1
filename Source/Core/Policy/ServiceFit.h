// Decides whether a long-running step fits in a cell. Services may fill most of a fleet, and their tasks may have to
// run on different workers, so the sum of free capacity isn't enough to decide.
#pragma once

#include <cstdint>
#include <vector>

namespace Policy {

struct ServiceDemand {
    uint32_t tasks = 0;
    /// Of each task.
    int64_t milliCores = 0;
    /// 0: no limit.
    uint32_t maximumPerWorker = 0;
};

/// Whether all tasks of the step fit. `freeMilliCores`: free thousandths of a core of each worker. `capacity`: of the
/// whole cell. `committedMilliCores`: accepted work that isn't placed yet. A reserve is kept free, so that tasks of
/// failed workers can be placed again.
bool serviceFits(
    const std::vector<int64_t>& freeMilliCores, int64_t capacity, int64_t committedMilliCores, const ServiceDemand&);

} // namespace Policy
