// Ranks steps by the band of the objective that they can still meet, then by priority and slack.
#include "Policy/StartOrder.h"

namespace Policy {

StartRank rankStart(const StartCandidate& candidate)
{
    // Long-running tasks are useful from the moment they run, so the oldest goes first.
    if (candidate.longRunning)
        return StartRank { StartRank::Band::OnTime, candidate.priority, -candidate.age };
    const Common::Duration endsAt = candidate.age + candidate.remaining;
    if (endsAt <= candidate.objective)
        return StartRank { StartRank::Band::OnTime, candidate.priority, candidate.objective - endsAt };
    const Common::Duration limit = overdueFactor * candidate.objective;
    if (endsAt <= limit)
        return StartRank { StartRank::Band::Late, candidate.priority, limit - endsAt };
    return StartRank { StartRank::Band::Overdue, candidate.priority, candidate.age };
}

} // namespace Policy
