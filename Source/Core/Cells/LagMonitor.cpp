// Smooths the share of time that a timer's delays take.
#include "Cells/LagMonitor.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Cells {

namespace {

    /// Time constant of the smoothing, in seconds. A single stall of some seconds stays below the limit.
    constexpr double smoothingSeconds = 4;
    constexpr double lateShare = 0.5;
    constexpr Common::Duration lateRetention = std::chrono::seconds(30);

    double secondsOf(Common::Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void LagMonitor::record(Common::MonotonicTime now, Common::Duration interval, Common::Duration delay)
{
    const double late = std::max(0.0, secondsOf(delay));
    const double elapsed = secondsOf(interval) + late;
    m_share += (late / elapsed - m_share) * (1 - std::exp(-elapsed / smoothingSeconds));
    if (m_share > lateShare)
        m_lateUntil = now + lateRetention;
}

} // namespace Cells
