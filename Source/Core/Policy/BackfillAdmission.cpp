// Weighs the run time that a task loses at a low pace against the time that it has waited for a better one.
#include "Policy/BackfillAdmission.h"

namespace Policy {

namespace {

    /// Below this pace a run would hold memory and still end too late.
    constexpr double usualStartPace = 0.8;

    double seconds(Common::Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

BackfillAdmission admitBackfill(const BackfillWait& wait)
{
    const bool standsStill = wait.jobIdle && wait.lightlyLoaded;
    if (wait.waited >= (standsStill ? longestWaitOfIdleJob : longestBackfillWait))
        return { usualStartPace, 0, wait.lightlyLoaded };
    if (wait.waited <= Common::Duration::zero() || wait.estimate <= Common::Duration::zero())
        return { usualStartPace, usualStartPace, false };
    // A run takes estimate / pace. A low pace is worth while once the task has waited for as long as it loses by it.
    const double longestRun = seconds(wait.estimate) / usualStartPace + seconds(wait.waited);
    return { usualStartPace, seconds(wait.estimate) / longestRun, false };
}

} // namespace Policy
