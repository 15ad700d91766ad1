// Exponential backoff of restarts, reset by each run that lasts.
#include "Policy/RestartBackoff.h"

#include <algorithm>

namespace Policy {

namespace {

    /// A run that lasted as long as the longest pause shows that the task works.
    constexpr Common::Duration stableRun = std::chrono::seconds(2);
    constexpr Common::Duration firstPause = std::chrono::milliseconds(250);
    constexpr uint32_t maximumDoublings = 3;

} // namespace

Common::Duration RestartBackoff::runEnded(Common::Duration ran)
{
    if (ran >= stableRun) {
        m_shortRuns = 0;
        return Common::Duration::zero();
    }
    const uint32_t earlierShortRuns = m_shortRuns;
    m_shortRuns = std::min(m_shortRuns + 1, maximumDoublings + 1);
    if (earlierShortRuns == 0)
        return Common::Duration::zero();
    return firstPause * (1 << (earlierShortRuns - 1));
}

} // namespace Policy
