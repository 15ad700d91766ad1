// Extrapolates the progress of a run.
#include "Policy/UnreadEnd.h"

namespace Policy {

namespace {

    constexpr int64_t wholePercent = 100;

} // namespace

bool endsWithin(const SilentRun& run, Common::Duration left)
{
    if (run.longRunning)
        return false;
    if (run.percent == 0)
        return run.estimate - run.ran <= left;
    return run.ran * (wholePercent - run.percent) / static_cast<int64_t>(run.percent) <= left;
}

} // namespace Policy
