// Scores of workers for one task.
#include "Policy/WorkerChoice.h"

#include <algorithm>

namespace Policy {

namespace {

    /// Backfill is started where at least this share of what it would like is unused; with less it would slow down
    /// what already runs there.
    constexpr double smallestBackfillShare = 0.7;
    /// Slower than this a backfill run isn't started: it would hold memory and end too late all the same.
    constexpr double smallestStartPace = 0.8;
    /// Scores in shares of a worker's room.
    constexpr double farFromData = 2;
    constexpr double avoidedWorker = 1.5;
    constexpr double slowStart = 1.5;
    /// Services of one image are kept together, since backfill that one image can't bear may do no harm to another: a
    /// worker with that image alone is best, then one without services, then one with other images too.
    constexpr double pureWorker = 1;
    constexpr double emptyWorker = 0.3;
    constexpr double foreignWorker = -0.7;
    /// What is short takes the room beside services first, and leaves workers without them to backfill.
    constexpr double besideServices = 0.3;
    /// Backfill that disturbs nothing goes beside services.
    constexpr double harmlessBesideServices = 0.25;

    double share(int64_t part, int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    double backfillScore(const TaskRequirements& need, const WorkerOffer& offer)
    {
        const int64_t left = offer.unusedMilliCores - offer.backfillMilliCores - need.request.milliCores;
        const double harmless = offer.serves && offer.backfillPace >= 1 ? harmlessBesideServices : 0;
        return share(left, offer.capacity.milliCores) - slowStart * (1 - offer.backfillPace) + harmless;
    }

    double regularScore(const TaskRequirements& need, const WorkerOffer& offer)
    {
        const double room = share(offer.free.milliCores - need.request.milliCores, offer.capacity.milliCores);
        if (!need.serves)
            return (offer.serves ? besideServices : 0) - room;
        const double company
            = offer.serves ? foreignWorker + (pureWorker - foreignWorker) * offer.sameImage : emptyWorker;
        return company - room;
    }

    double score(const TaskRequirements& need, const WorkerOffer& offer)
    {
        const double base = need.backfill ? backfillScore(need, offer) : regularScore(need, offer);
        return base - (offer.nearData ? 0 : farFromData) - (offer.avoided ? avoidedWorker : 0);
    }

    bool hasBackfillRoom(const TaskRequirements& need, const WorkerOffer& offer)
    {
        if (offer.backfillPace < smallestStartPace)
            return false;
        const double left = static_cast<double>(offer.unusedMilliCores - offer.backfillMilliCores);
        const double wanted = smallestBackfillShare * static_cast<double>(need.request.milliCores);
        // A task that is wider than any worker's rest still has to run somewhere.
        return left >= wanted || offer.backfillMilliCores == 0;
    }

} // namespace

bool admissible(const TaskRequirements& need, const WorkerOffer& offer)
{
    if (need.maximumPerWorker > 0 && offer.sameStep >= need.maximumPerWorker)
        return false;
    Common::Resources counted = need.request;
    if (need.backfill)
        counted.milliCores = 0;
    if (!Common::fits(counted, offer.free))
        return false;
    return !need.backfill || hasBackfillRoom(need, offer);
}

std::optional<size_t> chooseWorker(const TaskRequirements& need, const std::vector<WorkerOffer>& offers)
{
    std::optional<size_t> best;
    double bestScore = 0;
    for (size_t index = 0; index < offers.size(); ++index) {
        if (!admissible(need, offers[index]))
            continue;
        const double current = score(need, offers[index]);
        if (!best || current > bestScore) {
            best = index;
            bestScore = current;
        }
    }
    return best;
}

} // namespace Policy
