// Waiting tasks that find no room: transfers them to peer cells, and logs what blocks them.
#include "Cells/CellEngine.h"

#include "Common/Log.h"
#include "Policy/StartObstacle.h"
#include "Policy/WorkerChoice.h"

#include <algorithm>
#include <array>

namespace Cells {

namespace {

    /// A blocked step is logged after this wait and again whenever the wait has doubled.
    constexpr Common::Duration firstBlockedLog = std::chrono::seconds(1);
    constexpr double fullPercent = 100;

} // namespace

void CellEngine::handleBlockedStep(LiveJob& job, const Candidate& candidate)
{
    const Common::MonotonicTime now = m_runtime.now();
    std::optional<BlockedStep>& blocked = job.occurrences().at(candidate.occurrence).steps[candidate.step].blocked;
    if (!blocked)
        blocked = BlockedStep { now, firstBlockedLog };
    if (now - blocked->since >= blocked->logAfter) {
        blocked->logAfter = 2 * std::max(now - blocked->since, firstBlockedLog);
        logBlockedStep(job, candidate);
    }
    transferIfBlockedForLong(job, candidate);
    inquireForRoom(job, candidate);
}

void CellEngine::logBlockedStep(const LiveJob& job, const Candidate& candidate) const
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    const auto waiting
        = std::find_if(step.tasks.begin(), step.tasks.end(), [](const LiveTask& task) { return task.waiting(); });
    if (waiting == step.tasks.end() || !step.blocked)
        return;
    const auto index = static_cast<uint32_t>(waiting - step.tasks.begin());
    const Jobs::TaskName name { job.id(), candidate.occurrence, candidate.step, index };
    const Policy::TaskRequirements requirements = requirementsOf(job, name);
    std::array<size_t, Policy::startObstacles> counts {};
    size_t admissible = 0;
    Common::Resources largestFree;
    double bestPace = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        std::optional<Policy::StartObstacle> obstacle = obstacleAtWorker(*worker, job, spec);
        if (!obstacle) {
            const Policy::WorkerOffer offer = offerOf(*worker, spec, name);
            largestFree = Common::largerOf(largestFree, offer.free);
            bestPace = std::max(bestPace, offer.backfillPace);
            obstacle = isQuarantinedFor(*worker, job, name) ? Policy::StartObstacle::Quarantine
                                                            : Policy::obstacleToStart(requirements, offer);
        }
        if (obstacle)
            ++counts.at(static_cast<size_t>(*obstacle));
        else
            ++admissible;
    }
    std::string obstacles;
    for (size_t kind = 0; kind < counts.size(); ++kind) {
        if (counts.at(kind) == 0)
            continue;
        obstacles += (obstacles.empty() ? "" : ",");
        obstacles += Policy::startObstacleName(static_cast<Policy::StartObstacle>(kind));
        obstacles += ":" + std::to_string(counts.at(kind));
    }
    LC_INFO(Jobs,
        "event=task-blocked task=" << runName({ name, Common::AttemptNumber { waiting->progress.lastAttempt } })
                                   << " cell=" << m_id.value() << " waiting=" << step.waitingCount << " waited-ms="
                                   << (m_runtime.now() - step.blocked->since) / std::chrono::milliseconds(1)
                                   << " long-running=" << spec.longRunning << " backfill=" << spec.backfill
                                   << " image=" << spec.image << " label=" << spec.requiredLabel
                                   << " per-worker=" << spec.maximumPerWorker << " cores=" << spec.resources.milliCores
                                   << " memory=" << spec.resources.memoryMegabytes
                                   << " accelerators=" << spec.resources.accelerators << " obstacles=" << obstacles
                                   << " admissible=" << admissible << " largest-free-cores=" << largestFree.milliCores
                                   << " largest-free-memory=" << largestFree.memoryMegabytes << " best-pace="
                                   << static_cast<int>(fullPercent * bestPace) << " moves=" << job.transfersSent());
}

} // namespace Cells
