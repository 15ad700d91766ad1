// Earliest latest start first, within bands of what can still be reached.
#include "Policy/StartOrder.h"

namespace Policy {

StartRank rankStart(const StartCandidate& standing)
{
    // Long-running tasks earn from the moment that they are at work.
    if (standing.longRunning)
        return StartRank { StartRank::Band::OnTime, standing.priority, -standing.age };
    const Common::Duration endsAt = standing.age + standing.remaining;
    if (endsAt <= standing.objective)
        return StartRank { StartRank::Band::OnTime, standing.priority, standing.objective - endsAt };
    const Common::Duration limit = overdueFactor * standing.objective;
    if (endsAt <= limit)
        return StartRank { StartRank::Band::Late, standing.priority, limit - endsAt };
    return StartRank { StartRank::Band::Overdue, standing.priority, standing.age };
}

} // namespace Policy
