// How backfill beside a service raises the tail latency that a fake worker reports.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace CellTests {

/// The tail latency of a service is that of a queue, base / (1 - utilization).
struct Interference {
    /// Tail latency of an idle service in milliseconds.
    double baseTail = 4.4;
    /// Utilization of the service by its own users, 0 to 1.
    double ownLoad = 0.42;
    /// By image: what a whole processor of the backfill adds to the service's utilization.
    std::map<std::string, double> pressures;

    double pressureOf(const std::string& image) const
    {
        const auto found = pressures.find(image);
        return found == pressures.end() ? 0 : found->second;
    }
    double tail(double pressure) const
    {
        constexpr double saturated = 0.98;
        return baseTail / (1 - std::min(ownLoad + pressure, saturated));
    }
    /// The own load at which the service alone has this tail latency.
    double loadForTail(double milliseconds) const { return 1 - baseTail / milliseconds; }
};

} // namespace CellTests
