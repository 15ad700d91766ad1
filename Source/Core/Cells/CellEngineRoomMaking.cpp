// Room that is made for long-running tasks: one that has lost its run must soon run again, however full the cells are.
// Runs on one worker are stopped for it, and the room that they leave is reserved for its step.
#include "Cells/CellEngine.h"

#include "Common/Log.h"
#include "Policy/RoomMaking.h"

#include <algorithm>

namespace Cells {

namespace {

    /// How long a long-running task that has run, or may have run under an earlier owner or in another cell, finds no
    /// room until room is made for it.
    constexpr Common::Duration delayAfterRun = std::chrono::seconds(1);
    constexpr Common::Duration delayIfUnknown = std::chrono::seconds(2);
    /// Time between searches for runs to stop.
    constexpr Common::Duration searchInterval = std::chrono::milliseconds(100);
    /// Room isn't made again for the same task within this time.
    constexpr Common::Duration pauseOfTask = std::chrono::seconds(3);
    /// The same after a search that found no runs to stop.
    constexpr Common::Duration pauseAfterFailure = std::chrono::milliseconds(500);
    /// Room is made on one of so many workers at a time, on one at least.
    constexpr size_t workersShare = 8;
    /// A task is stopped this often at most, so that it ends at last.
    constexpr uint32_t mostStopsOfTask = 2;
    /// Room of peer cells doesn't count any more after this wait: it was taken whenever the task came there.
    constexpr Common::Duration longestWaitForPeers = std::chrono::seconds(3);
    constexpr double milliCoresPerCore = 1000;
    constexpr double coresPerAccelerator = 8;

} // namespace

void CellEngine::makeRoom(const std::vector<Candidate>& ranked)
{
    const Common::MonotonicTime now = m_runtime.now();
    if (now - m_roomMakingSearchedAt < searchInterval)
        return;
    m_roomMakingSearchedAt = now;
    size_t listed = 0;
    size_t making = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        listed += worker->listed ? 1 : 0;
        making += worker->reservation && worker->reservation->made && !worker->reservation->promisedUntil ? 1 : 0;
    }
    for (const Candidate& candidate : ranked) {
        const std::optional<Jobs::TaskName> name = taskToMakeRoomFor(candidate);
        if (name && making >= std::max<size_t>(1, listed / workersShare)) {
            m_roomSearches.add(RoomSearchCounts::Outcome::WorkerLimit);
            return;
        }
        if (name && makeRoomFor(candidate, *name))
            ++making;
    }
}

std::optional<Jobs::TaskName> CellEngine::taskWithoutRun(const Candidate& candidate) const
{
    const std::optional<Jobs::TaskName> name = taskForFreeRoom(candidate);
    const bool isSuspect
        = name && candidate.job->crashHistory(*name).isolation() != Policy::CrashHistory::Isolation::None;
    return isSuspect ? std::nullopt : name;
}

/// A task that never ran has no run to miss: it waits for ends.
std::optional<Jobs::TaskName> CellEngine::taskForFreeRoom(const Candidate& candidate) const
{
    const LiveJob& job = *candidate.job;
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const auto occurrence = job.occurrences().find(candidate.occurrence);
    if (!spec.longRunning || spec.gang || occurrence == job.occurrences().end())
        return std::nullopt;
    const LiveStep& step = occurrence->second.steps[candidate.step];
    if (!step.blocked || !hasAvailableTask(step) || m_committer.isTransferring(job.id()))
        return std::nullopt;
    const Jobs::TaskName name = firstAvailableTask(candidate);
    const LiveTask& task = step.tasks[name.index];
    if (task.notBefore > m_runtime.now() || !mayStart(job, name, task) || m_workers.workerWithLateStart(name)
        || job.crashHistory(name).isolation() == Policy::CrashHistory::Isolation::Required)
        return std::nullopt;
    const bool mayHaveRun = task.progress.lastAttempt > 0 || job.recovered();
    return mayHaveRun ? std::optional(name) : std::nullopt;
}

/// The step's first waiting task, if it is time to make room for it.
std::optional<Jobs::TaskName> CellEngine::taskToMakeRoomFor(const Candidate& candidate)
{
    std::optional<Jobs::TaskName> name = taskWithoutRun(candidate);
    if (!name)
        return std::nullopt;
    const Common::MonotonicTime now = m_runtime.now();
    const LiveStep& step = candidate.job->occurrences().at(candidate.occurrence).steps[candidate.step];
    const LiveTask& task = step.tasks[name->index];
    if (task.noRoomMadeBefore > now) {
        m_roomSearches.add(RoomSearchCounts::Outcome::MakingPauses);
        return std::nullopt;
    }
    const bool hasRun = task.progress.lastAttempt > 0;
    // The others of a step that was given room don't wait anew, nor do those for which this cell has offered room.
    if ((hasRun && step.reservedStartAt) || hasOfferedRoom(*candidate.job, candidate))
        return name;
    const Common::Duration delay = hasRun ? delayAfterRun : delayIfUnknown;
    return now - step.blocked->since < delay ? std::nullopt : name;
}

/// Transfers the step's waiting tasks if a peer cell shows room. Tasks that came from a cell that showed room stay: the
/// next one may have as little for them.
bool CellEngine::transferToUntriedCell(const Candidate& candidate)
{
    LiveJob& job = *candidate.job;
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    if (m_runtime.now() - step.blocked->since >= longestWaitForPeers || !step.refusals.empty())
        return false;
    const auto other = findCellWithCapacity(job, spec, step);
    if (!other)
        return false;
    if (CellWorker* const reserved = reservedWorker(firstAvailableTask(candidate)))
        endReservation(*reserved, "transferred");
    giveTasks(job, candidate, other->first, other->second);
    return true;
}

/// Runs of the worker as far as room is concerned, in the order of its allocations.
std::vector<Policy::RoomHolder> CellEngine::roomHolders(const CellWorker& worker) const
{
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<Policy::RoomHolder> holders;
    for (const auto& [run, allocation] : worker.allocations()) {
        Policy::RoomHolder holder;
        holder.held = allocation.held;
        holder.ending = allocation.stopping;
        holder.backfill = allocation.backfillMilliCores > 0;
        const auto job = m_jobs.find(run.task.job);
        const LiveTask* const task = job == m_jobs.end() ? nullptr : job->second->find(run.task);
        const bool started = allocation.reportedRunning || allocation.orderAnsweredAt;
        holder.kept = true;
        if (task && started && task->run && task->run->worker == worker.id() && task->run->attempt == run.attempt) {
            const Jobs::StepSpec& spec = job->second->stepSpec(run.task.step);
            holder.kept = spec.longRunning || spec.gang || spec.maximumUnavailable > 0
                || task->stopsForRoom >= mostStopsOfTask || isFinal(job->second->phase());
            holder.priority = job->second->policy().priority;
            const double cores = static_cast<double>(spec.resources.milliCores) / milliCoresPerCore
                + coresPerAccelerator * static_cast<double>(spec.resources.accelerators);
            const std::chrono::duration<double> ran = now - allocation.orderedAt;
            holder.workLost = spec.supportsCheckpoints ? 0 : cores * ran.count();
        }
        holders.push_back(holder);
    }
    return holders;
}

bool CellEngine::makeRoomFor(const Candidate& candidate, const Jobs::TaskName& name)
{
    LiveJob& job = *candidate.job;
    const std::optional<RoomPlan> plan = planRoom(roomQuestion(job, name));
    if (!plan) {
        m_roomSearches.add(RoomSearchCounts::Outcome::NothingToStop);
        job.find(name)->noRoomMadeBefore = m_runtime.now() + pauseAfterFailure;
        return false;
    }
    // Not before there is a plan: a search that fails keeps other steps from searching for a while.
    if (transferToUntriedCell(candidate)) {
        m_roomSearches.add(RoomSearchCounts::Outcome::GivenAway);
        return false;
    }
    m_roomSearches.add(RoomSearchCounts::Outcome::Made);
    CellWorker& worker = *plan->worker;
    if (CellWorker* const reserved = reservedWorker(name); reserved && reserved != &worker)
        endReservation(*reserved, "room-made-elsewhere");
    if (worker.reservation && !worker.reservation->isFor(name))
        endReservation(worker, "displaced");
    if (!worker.reservation)
        reserve({ &worker, Common::Duration::zero() }, candidate);
    worker.reservation->made = true;
    worker.reservation->promisedUntil.reset();
    // The reservation keeps the room from now on.
    m_offeredWorkers.erase(worker.id());
    worker.reservation->since = m_runtime.now();
    job.find(name)->noRoomMadeBefore = m_runtime.now() + pauseOfTask;
    std::string names;
    for (const RunKey& run : plan->stopped)
        names += (names.empty() ? "" : ",") + runName(run);
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    LC_INFO(Jobs,
        "event=room-made task=" << runName({ name, Common::AttemptNumber { job.find(name)->progress.lastAttempt } })
                                << " worker=" << worker.id().value() << " cell=" << m_id.value() << " waited-ms="
                                << (m_runtime.now() - step.blocked->since) / std::chrono::milliseconds(1)
                                << " stopped=" << names << " core-seconds-lost=" << plan->cost.workLost);
    for (const RunKey& run : plan->stopped) {
        if (LiveJob* const owner = findJob(run.task.job))
            ++owner->find(run.task)->stopsForRoom;
        stopRun(worker, run);
    }
    return true;
}

RoomQuestion CellEngine::roomQuestion(const LiveJob& job, const Jobs::TaskName& name)
{
    return { name, job.policy().service, job.policy().priority, job.stepSpec(name.step) };
}

bool CellEngine::isOpenTo(const CellWorker& worker, const RoomQuestion& question) const
{
    const Jobs::StepSpec& spec = question.spec;
    const bool isQuarantined
        = worker.quarantine && worker.quarantine->until > m_runtime.now() && worker.quarantine->task != question.task;
    return !isQuarantined && !obstacleAtWorker(worker, question.service, spec)
        && (spec.maximumPerWorker == 0 || offerOf(worker, spec, question.task).sameStep < spec.maximumPerWorker);
}

std::optional<CellEngine::RoomPlan> CellEngine::planRoom(const RoomQuestion& question) const
{
    std::optional<RoomPlan> plan = planRoom(question, ReservedWorkers::LeaveOut);
    return plan ? plan : planRoom(question, ReservedWorkers::TakeOver);
}

std::optional<CellEngine::RoomPlan> CellEngine::planRoom(const RoomQuestion& question, ReservedWorkers reserved) const
{
    std::vector<CellWorker*> workers;
    std::vector<Policy::RoomMakingOffer> offers;
    for (const auto& [id, worker] : m_workers.all()) {
        const bool reservedForOther = worker->reservation && !worker->reservation->isFor(question.task);
        if (!isOpenTo(*worker, question) || isOfferedToOther(*worker, question.task)
            || (reservedForOther && (reserved == ReservedWorkers::LeaveOut || !mayTakeOver(*worker->reservation))))
            continue;
        workers.push_back(worker.get());
        offers.push_back({ worker->entry().capacity, roomHolders(*worker) });
    }
    const std::optional<Policy::RoomMakingPlan> plan
        = Policy::planRoomMaking(allocationFor(question.spec).held, question.priority, offers);
    if (!plan)
        return std::nullopt;
    RoomPlan found { workers[plan->worker], {}, plan->cost };
    size_t index = 0;
    for (const auto& [run, allocation] : found.worker->allocations()) {
        if (std::find(plan->stopped.begin(), plan->stopped.end(), index++) != plan->stopped.end())
            found.stopped.push_back(run);
    }
    return found;
}

/// Whether a long-running task may have the worker in place of the step for which it is reserved.
bool CellEngine::mayTakeOver(const CellWorker::Reservation& reservation) const
{
    // Nobody was told yet of room that is only expected.
    if (reservation.promisedUntil)
        return !reservation.made;
    const auto job = m_jobs.find(reservation.step.job);
    return job != m_jobs.end() && !job->second->stepSpec(reservation.step.step).longRunning;
}

} // namespace Cells
