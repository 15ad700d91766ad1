// Counts the places that a step could take.
#include "Policy/ServiceFit.h"

#include <algorithm>
#include <numeric>

namespace Policy {

namespace {

    /// Share of a cell's capacity that services leave free: short work arrives all the time and a burst doubles it.
    constexpr double reserve = 0.12;

} // namespace

bool serviceFits(const std::vector<int64_t>& rooms, int64_t capacity, int64_t promised, const ServiceDemand& demand)
{
    const int64_t free = std::accumulate(rooms.begin(), rooms.end(), int64_t { 0 });
    const auto kept = static_cast<int64_t>(reserve * static_cast<double>(capacity));
    if (free - promised - kept < demand.tasks * demand.milliCores)
        return false;
    int64_t places = 0;
    for (const int64_t room : rooms) {
        int64_t here = demand.milliCores > 0 ? room / demand.milliCores : demand.tasks;
        if (demand.maximumPerWorker > 0)
            here = std::min<int64_t>(here, demand.maximumPerWorker);
        places += here;
    }
    // What is promised takes its share of the places.
    const double left = free > 0 ? 1 - static_cast<double>(promised) / static_cast<double>(free) : 0;
    return static_cast<double>(places) * left >= demand.tasks;
}

} // namespace Policy
