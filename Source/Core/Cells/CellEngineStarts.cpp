// Chooses workers for waiting tasks and starts runs.
#include "Cells/CellEngine.h"

#include "Common/Log.h"
#include "Common/WorkTimes.h"
#include "Policy/WorkerChoice.h"

#include <algorithm>

namespace Cells {

namespace {

    /// Attempt numbers that are skipped after one was refused as stale: an earlier owner may have used some.
    constexpr uint32_t skippedAttempts = 4;
    constexpr double fullPace = 100;
    /// Pause before a task is started again after a worker couldn't read its order.
    constexpr Common::Duration malformedRetryPause = std::chrono::seconds(1);

    bool hasLabel(const WorkerEntry& entry, const std::string& label)
    {
        return label.empty() || std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
    }

    bool hasRun(const CellWorkers& workers, const Jobs::TaskName& task)
    {
        return std::any_of(workers.all().begin(), workers.all().end(), [&](const auto& row) {
            const auto& runs = row.second->allocations();
            const auto first = runs.lower_bound(RunKey { task, {} });
            return first != runs.end() && first->first.task == task;
        });
    }

    uint32_t countOfStep(const CellWorker& worker, const Jobs::TaskName& task)
    {
        return static_cast<uint32_t>(
            std::count_if(worker.allocations().begin(), worker.allocations().end(), [&](const auto& row) {
                const Jobs::TaskName& other = row.first.task;
                return other.job == task.job && other.occurrence == task.occurrence && other.step == task.step;
            }));
    }

} // namespace

void CellEngine::schedulePlacement()
{
    if (m_closed || std::exchange(m_placingSoon, true))
        return;
    m_runtime.schedule(m_settings.placementDelay, m_lifetime.guard([this] {
        m_placingSoon = false;
        place();
    }));
}

void CellEngine::place()
{
    if (m_closed || m_releasing || authorityLeft() < m_settings.shortestStartLease)
        return;
    const Common::WorkTimes::Scope work(Common::WorkKind::Placement);
    updateHold();
    std::vector<Candidate> ranked = candidates();
    std::sort(ranked.begin(), ranked.end(), [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
    reserveRoom(ranked);
    std::vector<BlockedKind> blocked;
    const bool quarantined = quarantinedWorkers() > 0;
    for (const Candidate& candidate : ranked) {
        if (!quarantined || !placeSuspects(candidate))
            placeStep(candidate, blocked);
    }
    makeRoom(ranked);
    offerFreeRoom();
}

ServiceRooms CellEngine::serviceRooms() const
{
    ServiceRooms rooms;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->isOpen())
            continue;
        ServiceRoom& room = rooms[worker->entry().service];
        room.capacityMilliCores += worker->entry().capacity.milliCores;
        room.freeMilliCores += worker->free().milliCores;
    }
    return rooms;
}

void CellEngine::updateLightlyLoaded()
{
    ServiceRooms rooms = m_peerCells.serviceRooms(m_id);
    for (const auto& [service, room] : serviceRooms())
        rooms[service] += room;
    m_lightlyLoaded.clear();
    for (const auto& [service, room] : rooms) {
        const auto capacity = static_cast<double>(room.capacityMilliCores);
        if (static_cast<double>(room.freeMilliCores) >= Policy::lightLoadFreeShare * capacity)
            m_lightlyLoaded.insert(service);
    }
}

void CellEngine::updateHold()
{
    const bool holds = hasUncontactedWorkers();
    if (m_holdsTasks == holds)
        return;
    if (!holds) {
        const auto& workers = m_workers.all();
        m_gaveUpInherited = std::any_of(m_inheritedWorkers.begin(), m_inheritedWorkers.end(), [&](const auto& id) {
            const auto worker = workers.find(id);
            return worker == workers.end() || !worker->second->contacted;
        });
    }
    if (std::exchange(m_holdsTasks, holds).value_or(false) || holds) {
        LC_INFO(Jobs,
            "event=" << (holds ? "tasks-held" : "tasks-released") << " cell=" << m_id.value()
                     << " tasks=" << waitingElsewhere());
    }
}

/// Number of waiting tasks that an earlier owner may have started on a worker that hasn't reported.
size_t CellEngine::waitingElsewhere() const
{
    size_t count = 0;
    for (const auto& [id, job] : m_jobs) {
        for (const auto& [index, occurrence] : job->occurrences()) {
            for (const LiveStep& step : occurrence.steps) {
                count += static_cast<size_t>(std::count_if(step.tasks.begin(), step.tasks.end(),
                    [](const LiveTask& task) { return task.waiting() && task.mayBeElsewhere; }));
            }
        }
    }
    return count;
}

/// A run of the task that an earlier owner started on a worker that has never reported may have ended done. Its number
/// must not be used again: a successor must see that the task had runs of which it knows no end.
Common::AttemptNumber CellEngine::nextAttempt(const LiveTask& task) const
{
    const uint32_t skipped = m_gaveUpInherited && task.mayBeElsewhere ? skippedAttempts : 0;
    return Common::AttemptNumber { task.progress.lastAttempt + skipped + 1 };
}

bool CellEngine::isAvailable(const LiveTask& task) const
{
    return task.waiting() && !(task.mayBeElsewhere && m_holdsTasks.value_or(true));
}

bool CellEngine::hasAvailableTask(const LiveStep& step) const
{
    return step.waitingCount > 0 && std::any_of(step.tasks.begin(), step.tasks.end(), [this](const LiveTask& task) {
        return isAvailable(task);
    });
}

std::vector<CellEngine::Candidate> CellEngine::candidates()
{
    const Common::MonotonicTime now = m_runtime.now();
    const int64_t wallNow = m_runtime.wallMilliseconds()
        - std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.dueMargin).count();
    std::vector<Candidate> found;
    std::optional<int64_t> nextDue;
    for (const auto& [id, job] : m_jobs) {
        if (isFinal(job->phase()))
            continue;
        if (const auto due = job->openDueOccurrences(now, wallNow); due && (!nextDue || *due < *nextDue))
            nextDue = due;
        for (const auto& [index, occurrence] : job->occurrences()) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (!hasAvailableTask(occurrence.steps[step]) || !job->isStartable(occurrence, step))
                    continue;
                Policy::StartCandidate startCandidate;
                startCandidate.priority = job->policy().priority;
                startCandidate.longRunning = job->stepSpec(step).longRunning;
                startCandidate.age = now - occurrence.objectiveStartsAt;
                startCandidate.objective = job->objective();
                startCandidate.remaining = job->remainingCriticalPath(occurrence);
                found.push_back(Candidate { job.get(), index, step, Policy::rankStart(startCandidate) });
            }
        }
    }
    if (m_dueTimer)
        m_runtime.cancel(*m_dueTimer);
    m_dueTimer.reset();
    if (nextDue) {
        m_dueTimer = m_runtime.schedule(
            std::chrono::milliseconds(*nextDue - wallNow + 1), m_lifetime.guard([this] { schedulePlacement(); }));
    }
    return found;
}

/// Whether a step of the job finds no room either, as it asks for at least as much as a blocked one.
bool CellEngine::isBlockedLike(const BlockedKind& blocked, const LiveJob& job, const Candidate& candidate) const
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const Jobs::StepSpec& other = *blocked.spec;
    // Room for backfill depends on which services its image interferes with.
    const bool sameKind = other.backfill == spec.backfill && (!spec.backfill || other.image == spec.image)
        && other.requiredLabel == spec.requiredLabel && *blocked.service == job.policy().service;
    if (!sameKind || other.maximumPerWorker != 0 || !Common::fits(other.resources, spec.resources))
        return false;
    return !spec.backfill || blocked.admission.covers(admissionOf(job, candidate.occurrence, candidate.step));
}

void CellEngine::placeStep(const Candidate& candidate, std::vector<BlockedKind>& blocked)
{
    LiveJob& job = *candidate.job;
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const bool blockedToo = std::any_of(
        blocked.begin(), blocked.end(), [&](const BlockedKind& kind) { return isBlockedLike(kind, job, candidate); });
    if (blockedToo && !reservedWorker({ job.id(), candidate.occurrence, candidate.step, 0 })) {
        handleBlockedStep(job, candidate);
        return;
    }
    if (spec.gang) {
        placeGang(candidate);
        return;
    }
    const Common::MonotonicTime now = m_runtime.now();
    const size_t count = job.occurrences().at(candidate.occurrence).steps[candidate.step].tasks.size();
    for (uint32_t index = 0; index < count; ++index) {
        const LiveTask& task = job.occurrences().at(candidate.occurrence).steps[candidate.step].tasks[index];
        const Jobs::TaskName name { job.id(), candidate.occurrence, candidate.step, index };
        if (!isAvailable(task) || task.notBefore > now || !mayStart(job, name, task))
            continue;
        const std::optional<CellWorker*> choice = chooseForStart(job, name);
        if (!choice)
            continue;
        CellWorker* const worker = *choice;
        if (!worker) {
            blocked.push_back({ &job.policy().service, &spec, admissionOf(job, candidate.occurrence, candidate.step) });
            handleBlockedStep(job, candidate);
            return;
        }
        order(job, name, *worker, nextAttempt(task));
    }
}

Policy::BackfillAdmission CellEngine::admissionOf(const LiveJob& job, uint32_t occurrence, uint32_t step) const
{
    const std::optional<BlockedStep>& blocked = job.occurrences().at(occurrence).steps[step].blocked;
    Policy::BackfillWait wait;
    wait.waited = blocked ? m_runtime.now() - blocked->since : Common::Duration::zero();
    wait.estimate = job.stepSpec(step).estimate;
    wait.lightlyLoaded = m_lightlyLoaded.contains(job.policy().service);
    wait.jobIdle = wait.lightlyLoaded && !job.hasRun();
    return Policy::admitBackfill(wait);
}

Policy::TaskRequirements CellEngine::requirementsOf(const LiveJob& job, const Jobs::TaskName& name) const
{
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    Policy::TaskRequirements requirements;
    requirements.resources = spec.resources;
    requirements.backfill = spec.backfill;
    if (spec.backfill)
        requirements.admission = admissionOf(job, name.occurrence, name.step);
    requirements.serves = spec.longRunning && spec.latencyTarget > Common::Duration::zero();
    requirements.maximumPerWorker = spec.maximumPerWorker;
    return requirements;
}

Policy::WorkerOffer CellEngine::offerOf(
    const CellWorker& worker, const Jobs::StepSpec& spec, const Jobs::TaskName& name) const
{
    const WorkerEntry& entry = worker.entry();
    Policy::WorkerOffer offer;
    offer.capacity = entry.capacity;
    offer.free = worker.freeFor(name);
    offer.unusedMilliCores = worker.unusedMilliCores();
    offer.backfillMilliCores = worker.backfillMilliCores();
    if (spec.backfill) {
        const double demand = static_cast<double>(spec.resources.milliCores)
            / static_cast<double>(std::max<int64_t>(entry.capacity.milliCores, 1));
        offer.backfillPace = Policy::paceForNewRun(m_tails, worker.colocation(), spec.image, demand);
    } else if (spec.longRunning && spec.latencyTarget > Common::Duration::zero()) {
        offer.sameImage = worker.shareOfImage(spec.image);
    }
    offer.serves = worker.serves();
    offer.nearData = spec.preferredRack.empty() || spec.preferredRack == entry.rack;
    offer.sameStep = spec.maximumPerWorker > 0 ? countOfStep(worker, name) : 0;
    return offer;
}

std::optional<Policy::StartObstacle> CellEngine::obstacleAtWorker(
    const CellWorker& worker, const LiveJob& job, const Jobs::StepSpec& spec) const
{
    return obstacleAtWorker(worker, job.policy().service, spec);
}

std::optional<Policy::StartObstacle> CellEngine::obstacleAtWorker(
    const CellWorker& worker, const Common::ServiceName& service, const Jobs::StepSpec& spec) const
{
    const Common::MonotonicTime now = m_runtime.now();
    const WorkerEntry& entry = worker.entry();
    if (!worker.isOpen() || !worker.contacted)
        return Policy::StartObstacle::Unavailable;
    if (!isRecorded(worker))
        return Policy::StartObstacle::Unrecorded;
    if (entry.service != service || !hasLabel(entry, spec.requiredLabel))
        return Policy::StartObstacle::Ineligible;
    if (worker.noStartsBefore > now)
        return Policy::StartObstacle::Refused;
    if (!m_health.admits(worker.id(), now))
        return Policy::StartObstacle::Ejected;
    return std::nullopt;
}

bool CellEngine::mayRunOn(const CellWorker& worker, const LiveJob& job, const Jobs::StepSpec& spec) const
{
    return !obstacleAtWorker(worker, job, spec);
}

std::vector<CellWorker*> CellEngine::admissibleWorkers(
    const LiveJob& job, const Jobs::TaskName& name, const Common::RackId& rack, QuarantineRule rule)
{
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    const auto isOpen = [&](const CellWorker& worker) {
        const bool mayShare = rule == QuarantineRule::ShareLenient && worker.quarantine && !worker.quarantine->strict;
        return mayShare || !isQuarantinedFor(worker, job, name);
    };
    const Policy::TaskRequirements requirements = requirementsOf(job, name);
    std::vector<CellWorker*> found;
    for (const auto& [id, worker] : m_workers.all()) {
        if (mayRunOn(*worker, job, spec) && (rack.empty() || worker->entry().rack == rack) && isOpen(*worker)
            && Policy::isAdmissible(requirements, offerOf(*worker, spec, name)))
            found.push_back(worker.get());
    }
    return found;
}

std::optional<CellWorker*> CellEngine::chooseForStart(
    LiveJob& job, const Jobs::TaskName& name, const Common::RackId& rack)
{
    LiveTask& task = *job.find(name);
    // A run that this cell doesn't want, such as one that a late order has started, is stopped first.
    if (hasRun(m_workers, name))
        return std::nullopt;
    if (CellWorker* const worker = m_workers.workerWithLateStart(name)) {
        return mayStartBesideLateStart(*worker, job, name, task) ? std::optional(worker) : std::optional<CellWorker*>();
    }
    const auto isolation = job.crashHistory(name).isolation();
    if (isolation == Policy::CrashHistory::Isolation::None)
        return choose(job, name, task, rack);
    return chooseForSuspect(job, name, task, isolation, rack);
}

/// On that worker the late order does nothing: its life has seen a higher token or attempt, or has crashed.
bool CellEngine::mayStartBesideLateStart(
    const CellWorker& worker, const LiveJob& job, const Jobs::TaskName& name, const LiveTask& task) const
{
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    const Policy::CrashHistory history = job.crashHistory(name);
    const bool isIsolated = history.isolation() == Policy::CrashHistory::Isolation::None
        || (history.isolation() == Policy::CrashHistory::Isolation::Preferred
            && !hasNewRuns(worker, job, name, history.probation()));
    return !spec.gang && task.avoid != worker.id() && isIsolated && mayRunOn(worker, job, spec)
        && !isQuarantinedFor(worker, job, name)
        && Policy::isAdmissible(requirementsOf(job, name), offerOf(worker, spec, name));
}

CellWorker* CellEngine::choose(
    const LiveJob& job, const Jobs::TaskName& name, const LiveTask& task, const Common::RackId& rack)
{
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    std::vector<CellWorker*> workers;
    std::vector<Policy::WorkerOffer> offers;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!mayRunOn(*worker, job, spec) || (!rack.empty() && worker->entry().rack != rack)
            || isQuarantinedFor(*worker, job, name))
            continue;
        Policy::WorkerOffer offer = offerOf(*worker, spec, name);
        offer.avoided = task.avoid == id;
        workers.push_back(worker.get());
        offers.push_back(offer);
    }
    const auto chosen = Policy::chooseWorker(requirementsOf(job, name), offers);
    return chosen ? workers[*chosen] : nullptr;
}

void CellEngine::order(LiveJob& job, const Jobs::TaskName& name, CellWorker& worker, Common::AttemptNumber attempt)
{
    const Common::MonotonicTime now = m_runtime.now();
    const RunKey run { name, attempt };
    const LiveTask& task = *job.find(name);
    const RunOrder order { name, attempt, job.spec().payload, task.progress.checkpoint, {} };
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    // Sent after the worker has accepted the run.
    const uint32_t pace = spec.backfill ? static_cast<uint32_t>(fullPace * offerOf(worker, spec, name).backfillPace)
                                        : static_cast<uint32_t>(fullPace);
    const Common::Duration sinceConfirmed = m_runtime.suspendAwareNow() - m_committer.confirmedAt();
    LC_INFO(Jobs,
        "event=run-ordered run=" << runName(run) << " worker=" << worker.id().value() << " token=" << worker.token.value
                                 << " recovered=" << job.recovered() << " image=" << spec.image
                                 << " long-running=" << spec.longRunning << " pace=" << pace
                                 << " unheard-ms=" << (now - worker.lastReportAt) / std::chrono::milliseconds(1)
                                 << " confirmed-ms=" << sinceConfirmed / std::chrono::milliseconds(1));
    m_blockedSince.erase(name.job);
    LiveStep& step = job.occurrences().at(name.occurrence).steps[name.step];
    step.blocked.reset();
    step.inquiry = {};
    endReservationForStart(step, name, worker);
    quarantineForStart(worker, job, name);
    RunAllocation allocation = allocationFor(spec);
    allocation.orderedAt = now;
    worker.addAllocation(run, std::move(allocation));
    job.beginRun(name, TaskRun { worker.id(), attempt, RunPhase::Ordered, now, std::nullopt, 0, now });
    job.find(name)->mayBeElsewhere = false;
    if (step.waitingCount == 0)
        step.reservedStartAt.reset();
    m_health.recordStart(worker.id(), now);
    m_workers.start(worker, order, [this, id = worker.id(), run, pace](const OrderAnswer& answer) {
        onOrderAnswer(id, run, answer.verdict);
        CellWorker* const target = m_workers.find(id);
        if (target && answer.verdict == OrderVerdict::Accepted && pace < static_cast<uint32_t>(fullPace))
            m_workers.pace(*target, run, pace);
    });
}

void CellEngine::onOrderAnswer(const Common::WorkerId& id, const RunKey& run, OrderVerdict verdict)
{
    CellWorker* const worker = m_workers.find(id);
    RunAllocation* const allocation = worker ? worker->find(run) : nullptr;
    LiveJob* const job = findJob(run.task.job);
    LiveTask* const task = job ? job->find(run.task) : nullptr;
    if (!allocation)
        return;
    const Common::MonotonicTime now = m_runtime.now();
    if (verdict == OrderVerdict::Accepted || verdict == OrderVerdict::StaleAttempt) {
        // A stale attempt has run or never will; the next poll shows which.
        allocation->orderAnsweredAt = now;
        if (task && task->run && task->run->attempt == run.attempt) {
            task->run->confirmedAt = now;
            task->run->progressedAt = now;
            if (verdict == OrderVerdict::StaleAttempt)
                task->progress.lastAttempt += skippedAttempts;
            if (task->run->phase == RunPhase::Ordered)
                task->run->phase = RunPhase::Running;
        }
        if (verdict == OrderVerdict::StaleAttempt) {
            m_workers.pollSoon(id);
            if (job)
                stopOtherGangMembers(*job, run, GangMembers::All);
        }
        return;
    }
    LC_INFO(Jobs,
        "event=run-refused run=" << runName(run) << " worker=" << id.value()
                                 << " verdict=" << static_cast<int>(verdict));
    if (verdict == OrderVerdict::NoRoom || verdict == OrderVerdict::Unhealthy || verdict == OrderVerdict::OrderExpired)
        worker->noStartsBefore = std::max(worker->noStartsBefore, now + m_settings.refusalPause);
    if (task && verdict == OrderVerdict::Malformed)
        task->notBefore = now + malformedRetryPause;
    if (job)
        stopOtherGangMembers(*job, run, GangMembers::All);
    // A previous copy of the order may still be carried out; a stop order prevents that.
    if (allocation->startOutcomeUnknown) {
        stopRun(*worker, run);
        return;
    }
    dropRun(*worker, run);
    schedulePlacement();
}

} // namespace Cells
