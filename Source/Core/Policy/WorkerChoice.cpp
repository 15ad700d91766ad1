// Scores workers for one task; the highest score wins.
#include "Policy/WorkerChoice.h"

#include <algorithm>

namespace Policy {

namespace {

    /// Backfill starts where at least this share of the processor time that it could use is unused; with less it would
    /// slow down the tasks that already run there.
    constexpr double smallestBackfillShare = 0.7;
    /// Score terms as shares of a worker's capacity.
    constexpr double farFromData = 2;
    constexpr double avoidedWorker = 1.5;
    constexpr double slowStart = 1.5;
    /// Services of one image are kept together, since backfill that disturbs one image may not disturb another: a
    /// worker with only that image is best, then one without services, then one with other images.
    constexpr double pureWorker = 1;
    constexpr double emptyWorker = 0.3;
    constexpr double foreignWorker = -0.7;
    /// Regular tasks use the room beside services first and leave workers without services to backfill.
    constexpr double besideServices = 0.3;
    /// Backfill that disturbs no service is placed beside services.
    constexpr double harmlessBesideServices = 0.25;

    double share(int64_t part, int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    double backfillScore(const TaskRequirements& requirements, const WorkerOffer& offer)
    {
        const int64_t left = offer.unusedMilliCores - offer.backfillMilliCores - requirements.resources.milliCores;
        const double harmless = offer.serves && offer.backfillPace >= 1 ? harmlessBesideServices : 0;
        return share(left, offer.capacity.milliCores) - slowStart * (1 - offer.backfillPace) + harmless;
    }

    double regularScore(const TaskRequirements& requirements, const WorkerOffer& offer)
    {
        const double room = share(offer.free.milliCores - requirements.resources.milliCores, offer.capacity.milliCores);
        if (!requirements.serves)
            return (offer.serves ? besideServices : 0) - room;
        const double colocationScore
            = offer.serves ? foreignWorker + (pureWorker - foreignWorker) * offer.sameImage : emptyWorker;
        return colocationScore - room;
    }

    double score(const TaskRequirements& requirements, const WorkerOffer& offer)
    {
        const double base
            = requirements.backfill ? backfillScore(requirements, offer) : regularScore(requirements, offer);
        return base - (offer.nearData ? 0 : farFromData) - (offer.avoided ? avoidedWorker : 0);
    }

    std::optional<StartObstacle> backfillObstacle(const TaskRequirements& requirements, const WorkerOffer& offer)
    {
        const int64_t wanted = requirements.resources.milliCores;
        const BackfillAdmission& admission = requirements.admission;
        const int64_t taken = admission.besideOtherBackfill ? 0 : offer.backfillMilliCores;
        const int64_t room = std::min(offer.free.milliCores, offer.unusedMilliCores) - taken;
        if (room >= wanted && offer.backfillPace >= admission.paceInFreeRoom)
            return std::nullopt;
        if (offer.backfillPace < admission.usualPace)
            return StartObstacle::BackfillPace;
        const double left = static_cast<double>(offer.unusedMilliCores - offer.backfillMilliCores);
        // A task that needs more than any worker has unused still has to run somewhere.
        if (left >= smallestBackfillShare * static_cast<double>(wanted) || offer.backfillMilliCores == 0)
            return std::nullopt;
        return StartObstacle::OtherBackfill;
    }

} // namespace

std::optional<StartObstacle> obstacleToStart(const TaskRequirements& requirements, const WorkerOffer& offer)
{
    if (requirements.maximumPerWorker > 0 && offer.sameStep >= requirements.maximumPerWorker)
        return StartObstacle::TasksOfStep;
    const Common::Resources& needed = requirements.resources;
    if (!requirements.backfill && needed.milliCores > offer.free.milliCores)
        return StartObstacle::ProcessorTime;
    if (needed.memoryMegabytes > offer.free.memoryMegabytes)
        return StartObstacle::Memory;
    if (needed.accelerators > offer.free.accelerators)
        return StartObstacle::Accelerators;
    if (needed.slots > offer.free.slots)
        return StartObstacle::Slots;
    return requirements.backfill ? backfillObstacle(requirements, offer) : std::nullopt;
}

bool isAdmissible(const TaskRequirements& requirements, const WorkerOffer& offer)
{
    return !obstacleToStart(requirements, offer);
}

std::optional<size_t> chooseWorker(const TaskRequirements& requirements, const std::vector<WorkerOffer>& offers)
{
    std::optional<size_t> best;
    double bestScore = 0;
    for (size_t index = 0; index < offers.size(); ++index) {
        if (!isAdmissible(requirements, offers[index]))
            continue;
        const double current = score(requirements, offers[index]);
        if (!best || current > bestScore) {
            best = index;
            bestScore = current;
        }
    }
    return best;
}

} // namespace Policy
