// Crashes of workers: which tasks may have caused them, how these are started again, and when they are given up.
#include "Cells/CellEngine.h"

#include "Common/Log.h"

#include <algorithm>
#include <tuple>

namespace Cells {

namespace {

    using Isolation = Policy::CrashHistory::Isolation;

    /// Workers that crash together are all known to have crashed this long after the first one is.
    constexpr Common::Duration judgementDelay = std::chrono::milliseconds(1200);
    /// Workers that start again, or fall silent, within this time of each other may have crashed together.
    constexpr Common::Duration simultaneity = std::chrono::milliseconds(2500);
    /// How long the runs of a silent worker are remembered, in case it turns out to have crashed.
    constexpr Common::Duration lostWorkerRetention = std::chrono::seconds(60);
    /// How long a task that would probably be given up waits for news of the silent workers that it ran on.
    constexpr Common::Duration confirmationTimeout = std::chrono::seconds(10);
    /// How long a suspect waits for a worker on which it is isolated.
    constexpr Common::Duration isolationTimeout = std::chrono::seconds(4);
    /// A worker that began to drain this long before it went may have been shut down.
    constexpr Common::Duration drainMemory = std::chrono::seconds(60);
    /// At most one of so many workers is quarantined.
    constexpr size_t preferredIsolationShare = 4;
    constexpr size_t requiredIsolationShare = 2;

    bool mayHaveStarted(const RunAllocation& allocation)
    {
        return allocation.reportedRunning || allocation.orderAnsweredAt || allocation.startOutcomeUnknown;
    }

    bool belongsToGang(const LiveJob& job, const Jobs::TaskName& member, const Jobs::TaskName& other)
    {
        return job.stepSpec(member.step).gang && other.job == member.job && other.occurrence == member.occurrence
            && other.step == member.step;
    }

} // namespace

// Evidence.

CellEngine::LostWorker CellEngine::snapshotOf(const CellWorker& worker, Common::MonotonicTime now)
{
    return { worker.id(), worker.entry().address, worker.entry().rack, worker.startedAtMilliseconds,
        worker.lastReportAt, now, runsThatMayHaveStarted(worker) };
}

std::vector<CellEngine::LostRun> CellEngine::runsThatMayHaveStarted(const CellWorker& worker)
{
    std::vector<LostRun> runs;
    for (const auto& [run, allocation] : worker.allocations()) {
        if (!mayHaveStarted(allocation))
            continue;
        const Common::Duration ran = allocation.reportedRunning
            ? std::max(worker.lastReportAt - allocation.orderedAt, Common::Duration::zero())
            : Common::Duration::zero();
        // After an order without an answer, the next copy may have been accepted by the worker's next life.
        const bool started
            = allocation.reportedRunning || (allocation.orderAnsweredAt && !allocation.startOutcomeUnknown);
        runs.push_back({ run, started, ran });
    }
    return runs;
}

/// Called before the runs are cleared. After a reboot all runs count, whether they are cleared or not.
void CellEngine::onRunsLost(const CellWorker& worker, const std::vector<RunKey>& gone, bool rebooted)
{
    const Common::MonotonicTime now = m_runtime.now();
    std::erase_if(m_lostWorkers, [now](const auto& row) { return now - row.second.clearedAt > lostWorkerRetention; });
    LostWorker lost = snapshotOf(worker, now);
    if (!rebooted) {
        std::erase_if(lost.runs,
            [&gone](const LostRun& row) { return std::find(gone.begin(), gone.end(), row.run) == gone.end(); });
    }
    const bool drained = worker.entry().draining
        || (worker.drainingSince != Common::MonotonicTime {} && now - worker.drainingSince < drainMemory);
    if (rebooted) {
        if (const auto known = m_lostWorkers.extract(worker.id()); !known.empty()) {
            lost.runs.insert(lost.runs.end(), known.mapped().runs.begin(), known.mapped().runs.end());
            lost.lastReportAt = std::min(lost.lastReportAt, known.mapped().lastReportAt);
        }
        if (!drained)
            onWorkerCrash(std::move(lost), worker.startedAtMilliseconds);
        return;
    }
    if (drained || lost.runs.empty())
        return;
    suspectRunsOf(lost);
    LostWorker& kept = m_lostWorkers.try_emplace(worker.id(), lost).first->second;
    if (kept.clearedAt != now)
        kept.runs.insert(kept.runs.end(), lost.runs.begin(), lost.runs.end());
    kept.clearedAt = now;
}

/// The worker is silent and may have crashed.
void CellEngine::suspectRunsOf(const LostWorker& lost)
{
    for (const LostRun& row : lost.runs) {
        LiveJob* const job = findJob(row.run.task.job);
        LiveTask* const task = job && !isFinal(job->phase()) ? job->find(row.run.task) : nullptr;
        if (!task || task->progress.done)
            continue;
        if (row.ran >= job->crashHistory(row.run.task).probation())
            continue;
        ++task->unconfirmedCrashes;
        if (job->crashHistory(row.run.task).awaitsConfirmation())
            task->notBefore = std::max(task->notBefore, m_runtime.now() + confirmationTimeout);
    }
}

/// A worker that is listed with a later start under the id or the address of a lost one has replaced it.
void CellEngine::noticeReplacement(const WorkerEntry& entry)
{
    if (entry.startedAtMilliseconds == 0)
        return;
    const auto replaces = [&entry](const Common::WorkerId& id, const std::string& address, int64_t startedAt) {
        return startedAt != 0 && startedAt < entry.startedAtMilliseconds
            && (id == entry.id || address == entry.address);
    };
    if (!m_workers.find(entry.id)) {
        for (const auto& [id, worker] : m_workers.all()) {
            const bool drained = worker->entry().draining || worker->drainingSince != Common::MonotonicTime {};
            if (drained || m_lostWorkers.contains(id) || worker->allocations().empty()
                || !replaces(id, worker->entry().address, worker->startedAtMilliseconds))
                continue;
            onWorkerCrash(snapshotOf(*worker, m_runtime.now()), entry.startedAtMilliseconds);
        }
    }
    for (auto row = m_lostWorkers.begin(); row != m_lostWorkers.end();) {
        const LostWorker& lost = row->second;
        // CellWorkers reports the reboot of a worker that it knows.
        const bool reported = lost.id == entry.id && m_workers.find(entry.id);
        if (reported || !replaces(lost.id, lost.address, lost.startedAtMilliseconds)) {
            ++row;
            continue;
        }
        LostWorker crashed = lost;
        row = m_lostWorkers.erase(row);
        onWorkerCrash(std::move(crashed), entry.startedAtMilliseconds);
    }
}

void CellEngine::onWorkerCrash(LostWorker lost, int64_t startedAgainMilliseconds)
{
    const Common::MonotonicTime now = m_runtime.now();
    std::erase_if(
        m_recentCrashes, [now](const WorkerCrash& crash) { return now - crash.noticedAt > lostWorkerRetention; });
    m_recentCrashes.push_back({ lost.id, lost.rack, startedAgainMilliseconds, now });
    if (lost.runs.empty())
        return;
    for (const LostRun& row : lost.runs) {
        LiveJob* const job = findJob(row.run.task.job);
        if (LiveTask* const task = job ? job->find(row.run.task) : nullptr)
            task->notBefore = std::max(task->notBefore, now + judgementDelay);
    }
    m_runtime.schedule(judgementDelay, m_lifetime.guard([this, lost = std::move(lost), startedAgainMilliseconds] {
        judgeCrash(lost, startedAgainMilliseconds);
    }));
}

bool CellEngine::hasCommonCause(const LostWorker& lost, int64_t startedAgainMilliseconds) const
{
    const auto near = [&](const CellWorker& worker) {
        if (worker.id() == lost.id)
            return true;
        const bool crashed = std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const WorkerCrash& other) {
            return other.worker == worker.id()
                && std::chrono::milliseconds(std::abs(other.startedAtMilliseconds - startedAgainMilliseconds))
                <= simultaneity;
        });
        const Common::Duration apart = worker.lastReportAt - lost.lastReportAt;
        return crashed || (!worker.reachable && worker.contacted && apart <= simultaneity && -apart <= simultaneity);
    };
    size_t size = 0;
    size_t gone = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        const bool went = near(*worker);
        if (worker->entry().rack != lost.rack || (!worker->listed && !went))
            continue;
        ++size;
        gone += went ? 1 : 0;
    }
    return Policy::isCommonCause(gone, size);
}

void CellEngine::judgeCrash(const LostWorker& lost, int64_t startedAgainMilliseconds)
{
    const bool common = hasCommonCause(lost, startedAgainMilliseconds);
    LC_WARN(Worker,
        "event=worker-crashed worker=" << lost.id.value() << " cell=" << m_id.value() << " runs=" << lost.runs.size()
                                       << " common-cause=" << common);
    for (const LostRun& row : lost.runs) {
        LiveJob* const job = findJob(row.run.task.job);
        LiveTask* const task = job && !isFinal(job->phase()) ? job->find(row.run.task) : nullptr;
        if (!task)
            continue;
        task->unconfirmedCrashes -= task->unconfirmedCrashes > 0 ? 1 : 0;
        judgeRun(lost, row, common);
    }
    schedulePlacement();
}

void CellEngine::judgeRun(const LostWorker& lost, const LostRun& row, bool commonCause)
{
    LiveJob& job = *findJob(row.run.task.job);
    const Policy::CrashHistory before = job.crashHistory(row.run.task);
    const bool newerRuns = std::any_of(lost.runs.begin(), lost.runs.end(), [&](const LostRun& other) {
        return other.run.task != row.run.task && !belongsToGang(job, row.run.task, other.run.task)
            && other.ran < before.probation();
    });
    if (!before.counts(row.ran, job.stepSpec(row.run.task.step).longRunning, newerRuns))
        return;
    const bool fresh = row.ran < before.probation();
    const bool others = std::any_of(lost.runs.begin(), lost.runs.end(), [&](const LostRun& other) {
        return other.run.task != row.run.task && !belongsToGang(job, row.run.task, other.run.task);
    });
    const bool alone = row.started && (fresh ? !newerRuns : !others);
    const bool excused = commonCause && before.mayBeExcused();
    if (!job.recordCrash(row.run.task, row.run.attempt, { lost.id, row.started, fresh, alone, excused }))
        return;
    LC_INFO(Jobs,
        "event=task-suspected run=" << runName(row.run) << " worker=" << lost.id.value() << " started=" << row.started
                                    << " fresh=" << fresh << " alone=" << alone << " excused=" << excused
                                    << " crashes=" << before.crashes + (excused ? 0 : 1));
    markChanged(job);
    if (job.crashHistory(row.run.task).isGivenUp())
        giveUpTask(job, row.run.task);
}

// Giving up.

/// A part can't fail its job: it returns the task to the cell to which the job belongs.
void CellEngine::giveUpTask(LiveJob& job, const Jobs::TaskName& name)
{
    const Policy::CrashHistory history = job.crashHistory(name);
    LC_WARN(Jobs,
        "event=" << (job.isPart() ? "task-given-up" : "job-failed") << " reason=worker-crashes job=" << job.id().value()
                 << " task=" << name.occurrence << "." << name.step << "." << name.index
                 << " crashes=" << history.crashes << " alone=" << history.alone);
    if (job.isPart())
        scheduleReturn(job.id());
    else
        finishJob(job, Jobs::JobPhase::Failed, nullptr, "worker-crashes");
}

void CellEngine::giveUpTasksOf(const Common::JobId& id)
{
    LiveJob* const job = findJob(id);
    if (!job || isFinal(job->phase()))
        return;
    for (const auto& [index, occurrence] : job->occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<LiveTask>& tasks = occurrence.steps[step].tasks;
            for (uint32_t number = 0; number < tasks.size(); ++number) {
                const Jobs::TaskName name { id, index, step, number };
                if (tasks[number].progress.crashes.empty() || !tasks[number].waiting()
                    || !job->crashHistory(name).isGivenUp())
                    continue;
                giveUpTask(*job, name);
                return;
            }
        }
    }
}

// Starts of suspects.

bool CellEngine::mayStart(const LiveJob& job, const Jobs::TaskName& name, const LiveTask& task) const
{
    return job.committedChanges() >= task.requiredChange && !job.crashHistory(name).isGivenUp();
}

bool CellEngine::isQuarantinedFor(const CellWorker& worker, const LiveJob& job, const Jobs::TaskName& name) const
{
    if (!worker.quarantine || worker.quarantine->until <= m_runtime.now() || worker.quarantine->task == name)
        return false;
    return !belongsToGang(job, name, worker.quarantine->task);
}

bool CellEngine::hasNewRuns(
    const CellWorker& worker, const LiveJob& job, const Jobs::TaskName& except, Common::Duration probation) const
{
    const auto& runs = worker.allocations();
    return std::any_of(runs.begin(), runs.end(), [&](const auto& row) {
        return m_runtime.now() - row.second.orderedAt < probation && !belongsToGang(job, except, row.first.task);
    });
}

size_t CellEngine::quarantinedWorkers() const
{
    const auto& workers = m_workers.all();
    return static_cast<size_t>(std::count_if(workers.begin(), workers.end(),
        [this](const auto& row) { return row.second->quarantine && row.second->quarantine->until > m_runtime.now(); }));
}

CellWorker* CellEngine::leastDisturbed(const Policy::CrashHistory& history, const std::vector<CellWorker*>& workers)
{
    std::set<Common::RackId> racks;
    for (const Common::WorkerId& id : history.workers) {
        if (const CellWorker* const crashed = m_workers.find(id); crashed && !crashed->entry().rack.empty())
            racks.insert(crashed->entry().rack);
    }
    const auto cost = [&](const CellWorker* worker) {
        return std::tuple(history.workers.contains(worker->id()), worker->serves(),
            racks.contains(worker->entry().rack), worker->allocations().size());
    };
    return *std::min_element(
        workers.begin(), workers.end(), [&](const CellWorker* a, const CellWorker* b) { return cost(a) < cost(b); });
}

bool CellEngine::placeSuspects(const Candidate& candidate)
{
    LiveJob& job = *candidate.job;
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    const auto isSuspect
        = [](const LiveTask& task) { return !task.progress.crashes.empty() || task.unconfirmedCrashes > 0; };
    if (job.stepSpec(candidate.step).gang) {
        const bool suspect = std::any_of(step.tasks.begin(), step.tasks.end(), isSuspect);
        if (suspect)
            placeGang(candidate);
        return suspect;
    }
    const Common::MonotonicTime now = m_runtime.now();
    for (uint32_t index = 0; index < step.tasks.size(); ++index) {
        const LiveTask& task = step.tasks[index];
        const Jobs::TaskName name { job.id(), candidate.occurrence, candidate.step, index };
        if (!isSuspect(task) || !isAvailable(task) || task.notBefore > now || !mayStart(job, name, task))
            continue;
        const std::optional<CellWorker*> choice = chooseForStart(job, name);
        if (choice && *choice)
            order(job, name, **choice, nextAttempt(task));
    }
    return step.waitingCount == 0;
}

std::optional<CellWorker*> CellEngine::chooseForSuspect(
    LiveJob& job, const Jobs::TaskName& name, LiveTask& task, Isolation isolation, const Common::RackId& rack)
{
    const Common::MonotonicTime now = m_runtime.now();
    const Policy::CrashHistory history = job.crashHistory(name);
    std::vector<CellWorker*> workers = admissibleWorkers(job, name, rack, QuarantineRule::KeepOut);
    // A task with a single crash is probably innocent and doesn't wait for another one's probation.
    if (workers.empty() && isolation == Isolation::Preferred)
        workers = admissibleWorkers(job, name, rack, QuarantineRule::ShareLenient);
    if (workers.empty())
        return nullptr;
    if (!task.isolationSince)
        task.isolationSince = now;
    std::vector<CellWorker*> isolated;
    std::copy_if(workers.begin(), workers.end(), std::back_inserter(isolated),
        [&](const CellWorker* worker) { return !hasNewRuns(*worker, job, name, history.probation()); });
    const size_t share = isolation == Isolation::Required ? requiredIsolationShare : preferredIsolationShare;
    const bool reserved = std::any_of(isolated.begin(), isolated.end(),
        [&](const CellWorker* worker) { return worker->quarantine && worker->quarantine->until > now; });
    const bool mayIsolate = reserved || quarantinedWorkers() < std::max<size_t>(1, m_workers.all().size() / share);
    if (mayIsolate && !isolated.empty())
        return leastDisturbed(history, isolated);
    if (isolation == Isolation::Preferred || now - *task.isolationSince >= isolationTimeout)
        return leastDisturbed(history, workers);
    const bool waitsForWorker = std::any_of(workers.begin(), workers.end(),
        [&](const CellWorker* worker) { return worker->quarantine && worker->quarantine->until > now; });
    if (mayIsolate && !waitsForWorker) {
        CellWorker* const reservedWorker = leastDisturbed(history, workers);
        reservedWorker->quarantine = CellWorker::Quarantine { name, now + isolationTimeout, true };
    }
    return std::nullopt;
}

void CellEngine::endQuarantine(CellWorker& worker, const Jobs::TaskName& name)
{
    if (worker.quarantine && worker.quarantine->task == name)
        worker.quarantine.reset();
}

void CellEngine::quarantineForStart(CellWorker& worker, LiveJob& job, const Jobs::TaskName& name)
{
    job.find(name)->isolationSince.reset();
    const Policy::CrashHistory history = job.crashHistory(name);
    if (history.isolation() == Isolation::None || hasNewRuns(worker, job, name, history.probation()))
        return;
    worker.quarantine = CellWorker::Quarantine { name, m_runtime.now() + history.probation(),
        history.isolation() == Isolation::Required };
}

} // namespace Cells
