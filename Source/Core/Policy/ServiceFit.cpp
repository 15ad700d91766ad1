// Counts the tasks of a step that fit on the workers of a cell.
#include "Policy/ServiceFit.h"

#include <algorithm>
#include <numeric>

namespace Policy {

namespace {

    /// Share of a cell's capacity that services leave free: short work arrives all the time and a burst doubles it.
    constexpr double reserve = 0.12;

} // namespace

bool serviceFits(const std::vector<int64_t>& freeMilliCores, int64_t capacity, int64_t committedMilliCores,
    const ServiceDemand& demand)
{
    const int64_t free = std::accumulate(freeMilliCores.begin(), freeMilliCores.end(), int64_t { 0 });
    const auto reserved = static_cast<int64_t>(reserve * static_cast<double>(capacity));
    if (free - committedMilliCores - reserved < demand.tasks * demand.milliCores)
        return false;
    int64_t taskSlots = 0;
    for (const int64_t room : freeMilliCores) {
        int64_t here = demand.milliCores > 0 ? room / demand.milliCores : demand.tasks;
        if (demand.maximumPerWorker > 0)
            here = std::min<int64_t>(here, demand.maximumPerWorker);
        taskSlots += here;
    }
    // Accepted work that isn't placed yet takes its share of the task slots.
    const double left = free > 0 ? 1 - static_cast<double>(committedMilliCores) / static_cast<double>(free) : 0;
    return static_cast<double>(taskSlots) * left >= demand.tasks;
}

} // namespace Policy
