// Whether a long-running step finds room in a cell. The load it answers: services that fill most of a fleet, with tasks
// that must be apart.
#pragma once

#include <cstdint>
#include <vector>

namespace Policy {

struct ServiceDemand {
    uint32_t tasks = 0;
    int64_t milliCores = 0;
    /// 0: no limit.
    uint32_t maximumPerWorker = 0;
};

/// `rooms`: free thousandths of a core of each worker. `promised`: what was accepted and has no place yet.
/// Leaves a reserve, so that tasks of failed workers find room again.
bool serviceFits(const std::vector<int64_t>& rooms, int64_t capacity, int64_t promised, const ServiceDemand&);

} // namespace Policy
