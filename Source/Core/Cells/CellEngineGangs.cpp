// Starts and stops gangs: steps whose tasks run at the same time.
#include "Cells/CellEngine.h"

#include "Common/Log.h"
#include "Policy/GangPlacement.h"

#include <algorithm>

namespace Cells {

namespace {

    /// How many times the request fits into the free resources, at most `most`.
    size_t timesFitting(const Common::Resources& request, Common::Resources free, size_t most)
    {
        size_t count = 0;
        while (count < most && Common::fits(request, free)) {
            free -= request;
            ++count;
        }
        return count;
    }

} // namespace

std::vector<Policy::GangOffer> CellEngine::gangOffers(const LiveJob& job, const Candidate& candidate)
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const RunAllocation member = allocationFor(spec);
    const size_t members = spec.taskCount;
    std::vector<Policy::GangOffer> offers;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!mayRunOn(*worker, job, spec)
            || isQuarantinedFor(*worker, job, { job.id(), candidate.occurrence, candidate.step, 0 }))
            continue;
        const size_t most = spec.maximumPerWorker > 0 ? std::min<size_t>(spec.maximumPerWorker, members) : members;
        Policy::GangOffer offer;
        offer.rack = worker->entry().rack.value();
        offer.memberCapacity = timesFitting(member.held, worker->unreservedFree(), most);
        offer.memberCapacityWhenEmpty = timesFitting(member.held, worker->entry().capacity, most);
        offers.push_back(std::move(offer));
    }
    return offers;
}

/// Whether the gang has waited for less than the estimated extra run time if its members are on several racks.
bool CellEngine::isWorthWaitingForRack(const Jobs::StepSpec& spec, const LiveStep& step) const
{
    const auto extraTime = Common::Duration(static_cast<Common::Duration::rep>(
        static_cast<double>(spec.estimate.count()) * (m_settings.spreadSlowdown - 1)));
    return step.waitingSince && m_runtime.now() - *step.waitingSince < extraTime;
}

/// Starts all members of a gang at once, or none.
void CellEngine::placeGang(const Candidate& candidate)
{
    LiveJob& job = *candidate.job;
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    if (step.waitingCount != step.tasks.size())
        return;
    const Common::MonotonicTime now = m_runtime.now();
    const Jobs::TaskName first { job.id(), candidate.occurrence, candidate.step, 0 };
    if (std::any_of(step.tasks.begin(), step.tasks.end(), [&](const LiveTask& task) {
            return !isAvailable(task) || task.notBefore > now || !mayStart(job, first, task);
        }))
        return;
    if (!step.waitingSince)
        step.waitingSince = now;
    const Policy::GangRequirements requirements { step.tasks.size(), spec.sameRack, isWorthWaitingForRack(spec, step) };
    const Policy::GangPlacement placement = Policy::chooseGangPlacement(requirements, gangOffers(job, candidate));
    if (std::holds_alternative<Policy::WaitForRack>(placement)) {
        handleBlockedStep(job, candidate);
        return;
    }
    const auto* const onRack = std::get_if<Policy::OnRack>(&placement);
    startGang(candidate, onRack ? Common::RackId(onRack->rack) : Common::RackId {});
}

void CellEngine::startGang(const Candidate& candidate, const Common::RackId& rack)
{
    LiveJob& job = *candidate.job;
    LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    Common::AttemptNumber attempt;
    for (const LiveTask& task : step.tasks)
        attempt = std::max(attempt, nextAttempt(task));
    // Each member's allocation is added before the next worker is chosen, so that the choices account for one another.
    std::vector<std::pair<Jobs::TaskName, CellWorker*>> placedMembers;
    for (uint32_t index = 0; index < step.tasks.size(); ++index) {
        const Jobs::TaskName name { job.id(), candidate.occurrence, candidate.step, index };
        const std::optional<CellWorker*> choice = chooseForStart(job, name, rack);
        if (!choice || !*choice) {
            for (const auto& [placed, holder] : placedMembers)
                holder->removeAllocation(RunKey { placed, attempt });
            if (choice)
                handleBlockedStep(job, candidate);
            return;
        }
        CellWorker* const worker = *choice;
        worker->addAllocation(RunKey { name, attempt }, allocationFor(job.stepSpec(candidate.step)));
        placedMembers.emplace_back(name, worker);
    }
    LC_INFO(Jobs,
        "event=gang-started job=" << job.id().value() << " step=" << candidate.step << " members="
                                  << placedMembers.size() << " attempt=" << attempt.value << " rack=" << rack.value());
    step.waitingSince.reset();
    for (const auto& [name, worker] : placedMembers)
        order(job, name, *worker, attempt);
}

/// Stops the other members of a gang when one doesn't run: they would wait for it until they time out.
void CellEngine::stopOtherGangMembers(LiveJob& job, const RunKey& missing, GangMembers members)
{
    if (isFinal(job.phase()) || missing.task.step >= job.spec().steps.size() || !job.stepSpec(missing.task.step).gang)
        return;
    Jobs::TaskName name = missing.task;
    for (uint32_t index = 0; index < job.stepSpec(name.step).taskCount; ++index) {
        name.index = index;
        const LiveTask* const task = job.find(name);
        if (index == missing.task.index || !task || !task->run || task->run->attempt != missing.attempt)
            continue;
        CellWorker* const worker = m_workers.find(task->run->worker);
        const RunKey run { name, missing.attempt };
        const RunAllocation* const allocation = worker ? worker->find(run) : nullptr;
        if (allocation && (members == GangMembers::All || !allocation->reportedRunning))
            stopRun(*worker, run);
    }
}

} // namespace Cells
