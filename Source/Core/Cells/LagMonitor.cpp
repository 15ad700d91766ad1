// Smooths the share of time that a timer's delays take.
#include "Cells/LagMonitor.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Cells {

namespace {

    /// Time constant of the smoothing, in seconds. A single stall of up to 2.5 s stays below the limit.
    constexpr double smoothingSeconds = 4;
    constexpr double lateShare = 0.5;
    constexpr Common::Duration firstRetention = std::chrono::seconds(30);
    constexpr Common::Duration longestRetention = std::chrono::minutes(8);

    double secondsOf(Common::Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void LagMonitor::record(Common::MonotonicTime now, Common::Duration interval, Common::Duration delay)
{
    const double late = std::max(0.0, secondsOf(delay));
    const double elapsed = secondsOf(interval) + late;
    m_share += (late / elapsed - m_share) * (1 - std::exp(-elapsed / smoothingSeconds));
    if (m_share <= lateShare)
        return;
    if (!isLate(now)) {
        const bool again = m_retention > Common::Duration::zero() && now - m_lateUntil < m_retention;
        m_retention = again ? std::min(2 * m_retention, longestRetention) : firstRetention;
    }
    m_lateUntil = now + m_retention;
}

} // namespace Cells
