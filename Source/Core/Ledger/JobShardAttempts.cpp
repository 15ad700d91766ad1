// Attempts of one shard's jobs: reserves room, commits the intent, starts the task, and resolves the attempt from
// workers' views.
#include "Ledger/JobShard.h"

#include "Common/Timeline.h"
#include "Ledger/JobCounters.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/Profile.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/TaskLauncher.h"
#include "Scheduler/WorkerPort.h"

#include <algorithm>

namespace Ledger {

namespace {

    using Phase = LiveJob::Phase;

    constexpr Common::Duration failureBackoffMinimum = std::chrono::seconds(1);
    constexpr Common::Duration failureBackoffMaximum = std::chrono::minutes(5);
    constexpr uint32_t checksPerSecond = 1;
    constexpr size_t maximumViewRequests = 32;

    bool provesNotStarted(Common::ErrorCode code)
    {
        return Scheduler::provesNotRun(code) || code == Common::ErrorCode::NotOwner
            || code == Common::ErrorCode::NoAuthority;
    }

    std::optional<uint32_t> attemptOf(const Common::TaskId& task)
    {
        const size_t separator = task.value().rfind('#');
        if (separator == std::string::npos)
            return std::nullopt;
        return static_cast<uint32_t>(std::strtoul(task.value().c_str() + separator + 1, nullptr, 10));
    }

    Common::Duration failureBackoff(const JobRecord& record)
    {
        const auto failures = std::count_if(record.attempts.begin(), record.attempts.end(),
            [](const JobAttempt& attempt) { return attempt.end == AttemptEnd::Failed; });
        return std::min(failureBackoffMaximum, failureBackoffMinimum * (int64_t { 1 } << failures));
    }

} // namespace

// Start

void JobShard::tick()
{
    const JobQueue::Allows allows = [this](const JobQueue::Item& item) { return quotaAllows(item); };
    while (m_reserving < m_dependencies.settings.maximumReserving) {
        const auto item = m_queue.pop(now(), wallClock(), allows);
        if (!item)
            break;
        startNext(*item);
    }
    sendControls();
}

Scheduler::TaskSpec JobShard::specOf(const JobRecord& record, uint32_t attempt) const
{
    return Scheduler::TaskSpec { .task = Common::TaskId(record.job.value() + "#" + std::to_string(attempt)),
        .job = record.job,
        .team = record.submission.team,
        .profile = record.submission.profile,
        .declared = record.submission.resources,
        .checkpoint = record.checkpoint,
        .command = record.submission.command,
        .urgent = profileOf(record).priority == Scheduler::Priority::Urgent,
        .avoid = record.failedWorkers };
}

void JobShard::startNext(const JobQueue::Item& item)
{
    const JobRecord* const record = m_shard.state().job(item.job);
    const auto live = m_live.find(item.job);
    if (record == nullptr || live == m_live.end() || live->second.ending) {
        m_queue.markFitting(item);
        return;
    }
    live->second.phase = Phase::Reserving;
    chargeQuota(*record, live->second);
    ++m_reserving;
    m_dependencies.taskLauncher.reserve(specOf(*record, record->lastAttempt() + 1),
        [this, token = m_lifetime.token(), item, &taskLauncher = m_dependencies.taskLauncher](
            const Common::Result<Scheduler::Reservation>& result) {
            if (token.lock() && !m_abandoned)
                onReserved(item, result);
            else if (result)
                taskLauncher.release(*result);
        });
}

void JobShard::onReserved(const JobQueue::Item& item, const Common::Result<Scheduler::Reservation>& result)
{
    --m_reserving;
    if (result)
        m_queue.markFitting(item);
    else
        m_queue.holdBack(item.declared, now() + m_dependencies.settings.noWorkerPause);
    const JobRecord* const record = m_shard.state().job(item.job);
    const auto live = m_live.find(item.job);
    const bool isStillQueued = record != nullptr && live != m_live.end() && !live->second.ending;
    if (!isStillQueued) {
        if (result)
            m_dependencies.taskLauncher.release(*result);
        return;
    }
    if (result) {
        commitIntent(*record, live->second, *result);
        return;
    }
    m_dependencies.counters.noWorker.Increment();
    live->second.phase = Phase::Queued;
    releaseQuota(*record, live->second);
    m_queue.refund(item);
    m_queue.pushFront(item);
}

void JobShard::commitIntent(const JobRecord& record, LiveJob& live, const Scheduler::Reservation& reservation)
{
    live.phase = Phase::Intending;
    live.reservation = reservation;
    const JobAttempt attempt { .number = Common::AttemptNumber { record.lastAttempt() + 1 },
        .worker = reservation.worker,
        .boot = reservation.boot,
        .startBy = reservation.startBy,
        .workerOwner = reservation.owner };
    live.intent = m_shard.commit(LedgerDelta { LedgerDelta::AttemptIntended { record.job, attempt } },
        m_lifetime.guard(
            [this, job = record.job](const Common::Result<Common::Done>& result) { onIntentCommitted(job, result); }));
}

void JobShard::onIntentCommitted(const Common::JobId& job, const Common::Result<Common::Done>& result)
{
    const auto found = m_live.find(job);
    if (m_abandoned || found == m_live.end() || !found->second.reservation)
        return;
    LiveJob& live = found->second;
    const Scheduler::Reservation reservation = *live.reservation;
    // The shard is lost; abandon() follows and returns the reservation.
    if (!result)
        return;
    live.reservation.reset();
    const JobRecord& record = *m_shard.state().job(job);
    m_dependencies.counters.intended.Increment();
    this->recordEvent(Common::EventKind::JobIntended, record);
    trackAttempt(record, live, Phase::Starting);
    if (live.cancelling) {
        m_dependencies.taskLauncher.release(reservation);
        resolveAttempt(record, live, AttemptEnd::NotStarted);
        return;
    }
    const uint32_t attempt = record.lastAttempt();
    m_dependencies.taskLauncher.start(reservation, specOf(record, attempt),
        m_lifetime.guard(
            [this, job, attempt](const Common::Result<Common::Done>& start) { onStartAnswered(job, attempt, start); }));
}

void JobShard::trackAttempt(const JobRecord& record, LiveJob& live, Phase phase)
{
    live.phase = phase;
    live.silentChecks = 0;
    live.otherBootSince.reset();
    live.nextControl = now();
    live.cancelling |= record.cancelRequested;
    if (live.cancelling)
        m_controlled.insert(record.job);
    chargeQuota(record, live);
    WorkerWatch& watch = m_workers[record.openAttempt()->worker];
    watch.jobs.insert(record.job);
}

void JobShard::onStartAnswered(const Common::JobId& job, uint32_t attempt, const Common::Result<Common::Done>& start)
{
    const JobRecord* const record = m_shard.state().job(job);
    const auto live = m_live.find(job);
    if (m_abandoned || record == nullptr || live == m_live.end() || live->second.ending)
        return;
    if (record->openAttempt() == nullptr || record->lastAttempt() != attempt)
        return;
    if (start)
        return;
    if (provesNotStarted(start.reason().code)) {
        resolveAttempt(*record, live->second, AttemptEnd::NotStarted);
        return;
    }
    // The task may be running; only a view shows whether it is.
    m_dependencies.taskLauncher.requestView(record->openAttempt()->worker);
}

// Views

void JobShard::onView(const Scheduler::WorkerView& view)
{
    const auto found = m_workers.find(view.worker);
    std::unordered_map<Common::TaskId, const Scheduler::TaskReport*> reports;
    for (const Scheduler::TaskReport& report : view.tasks) {
        reports.emplace(report.task, &report);
        cleanUpTask(view, report);
    }
    if (found == m_workers.end())
        return;
    found->second.lastView = now();
    const std::vector<Common::JobId> jobs(found->second.jobs.begin(), found->second.jobs.end());
    for (const Common::JobId& job : jobs) {
        const JobRecord* const record = m_shard.state().job(job);
        const auto live = m_live.find(job);
        if (record == nullptr || live == m_live.end() || live->second.ending || record->openAttempt() == nullptr)
            continue;
        const auto report = reports.find(record->task());
        updateFromView(*record, live->second, view, report == reports.end() ? nullptr : report->second);
    }
}

void JobShard::updateFromView(
    const JobRecord& record, LiveJob& live, const Scheduler::WorkerView& view, const Scheduler::TaskReport* report)
{
    live.silentChecks = 0;
    const JobAttempt& attempt = *record.openAttempt();
    if (view.boot != attempt.boot) {
        checkReboot(record, live);
        return;
    }
    live.otherBootSince.reset();
    if (report != nullptr) {
        updateFromReport(record, live, *report);
        return;
    }
    // The task is neither running nor ended, and its start deadline has passed.
    if (view.clock >= attempt.startBy)
        resolveAttempt(record, live, AttemptEnd::Lost);
}

/// Boot ids have no order, and a view of an older boot may arrive late. So a reboot is accepted only if views of
/// another boot still arrive after bootConfirmation, when no late view can be in transit, and no view of the attempt's
/// boot came in between.
void JobShard::checkReboot(const JobRecord& record, LiveJob& live)
{
    if (!live.otherBootSince) {
        live.otherBootSince = now();
        m_dependencies.taskLauncher.requestView(record.openAttempt()->worker);
        return;
    }
    if (now() - *live.otherBootSince >= m_dependencies.settings.bootConfirmation)
        resolveAttempt(record, live, AttemptEnd::Lost);
}

void JobShard::updateFromReport(const JobRecord& record, LiveJob& live, const Scheduler::TaskReport& report)
{
    switch (report.state) {
    case Scheduler::TaskState::Running:
        recordRunning(record, live, report);
        return;
    case Scheduler::TaskState::Finished:
        resolveAttempt(record, live, AttemptEnd::Finished, report.checkpoint);
        return;
    case Scheduler::TaskState::Failed:
        resolveAttempt(record, live, AttemptEnd::Failed, report.checkpoint);
        return;
    case Scheduler::TaskState::Stopped:
        resolveAttempt(
            record, live, live.phase == Phase::Stopping ? AttemptEnd::Evicted : AttemptEnd::Lost, report.checkpoint);
        return;
    }
}

void JobShard::recordRunning(const JobRecord& record, LiveJob& live, const Scheduler::TaskReport& report)
{
    if (live.phase == Phase::Starting) {
        live.phase = Phase::Running;
        live.runningSince = now();
        live.nextCheckpointRecord = now() + m_dependencies.settings.checkpointRecordGap;
        this->recordEvent(Common::EventKind::JobStarted, record);
    }
    if (report.checkpoint.empty() || report.checkpoint == record.checkpoint || live.recordingCheckpoint)
        return;
    if (live.phase == Phase::Checkpointing || now() >= live.nextCheckpointRecord)
        recordCheckpoint(record, live, report.checkpoint);
}

void JobShard::recordCheckpoint(const JobRecord& record, LiveJob& live, const std::string& checkpoint)
{
    live.recordingCheckpoint = true;
    live.nextCheckpointRecord = now() + m_dependencies.settings.checkpointRecordGap;
    m_shard.commit(LedgerDelta { LedgerDelta::CheckpointRecorded { record.job, checkpoint } },
        m_lifetime.guard([this, job = record.job](const Common::Result<Common::Done>& result) {
            const auto found = m_live.find(job);
            if (found == m_live.end())
                return;
            found->second.recordingCheckpoint = false;
            if (result && found->second.phase == Phase::Checkpointing) {
                found->second.phase = Phase::Stopping;
                found->second.nextControl = now();
            }
        }),
        live.phase == Phase::Checkpointing ? LedgerLog::Urgency::Eager : LedgerLog::Urgency::Lazy);
}

/// Cleans up a task whose attempt is durably resolved: acknowledges it if it ended, stops it if it runs. Attempts that
/// this owner doesn't know may belong to its successor and are left alone.
void JobShard::cleanUpTask(const Scheduler::WorkerView& view, const Scheduler::TaskReport& report)
{
    const auto job = JobService::jobOfTask(report.task);
    const auto attempt = attemptOf(report.task);
    const JobRecord* const record = job ? m_shard.state().job(*job) : nullptr;
    if (record == nullptr || !attempt || *attempt > record->lastAttempt())
        return;
    if (record->openAttempt() != nullptr && *attempt == record->lastAttempt())
        return;
    if (report.state != Scheduler::TaskState::Running) {
        m_dependencies.taskLauncher.acknowledge(view.worker, { report.task });
        return;
    }
    m_dependencies.counters.strayStops.Increment();
    m_dependencies.taskLauncher.control(view.worker, Scheduler::TaskControl::Stop, { report.task });
}

// Ends of attempts and jobs

void JobShard::resolveAttempt(const JobRecord& record, LiveJob& live, AttemptEnd end, const std::string& checkpoint)
{
    if (const auto final = finalState(record, live, end)) {
        this->endJob(record, live, final->first, end, final->second);
        return;
    }
    requeue(record, live, end, checkpoint);
}

std::optional<std::pair<JobState, std::string>> JobShard::finalState(
    const JobRecord& record, const LiveJob& live, AttemptEnd end) const
{
    if (end == AttemptEnd::Finished)
        return std::pair(JobState::Finished, std::string());
    if (live.cancelling || record.cancelRequested)
        return std::pair(JobState::Cancelled, std::string("cancelled"));
    if (end == AttemptEnd::NotStarted)
        return std::nullopt;
    if (end != AttemptEnd::Failed) {
        if (record.atMostOnce)
            return std::pair(JobState::Unknown, std::string("the attempt may have run; runs at most once"));
        return std::nullopt;
    }
    if (record.atMostOnce)
        return std::pair(JobState::Failed, std::string("the attempt failed; runs at most once"));
    std::set<Common::WorkerId> failed(record.failedWorkers.begin(), record.failedWorkers.end());
    failed.insert(record.openAttempt()->worker);
    if (failed.size() >= profileOf(record).maximumJobFailures)
        return std::pair(JobState::Failed, "failed on " + std::to_string(failed.size()) + " distinct workers");
    return std::nullopt;
}

void JobShard::requeue(const JobRecord& record, LiveJob& live, AttemptEnd end, const std::string& checkpoint)
{
    live.ending = true;
    const JobAttempt attempt = *record.openAttempt();
    m_shard.commit(LedgerDelta { LedgerDelta::AttemptEnded { record.job, end, checkpoint } },
        m_lifetime.guard([this, job = record.job, end, attempt](const Common::Result<Common::Done>& result) {
            onRequeueCommitted(job, end, attempt, result);
        }));
}

void JobShard::onRequeueCommitted(
    const Common::JobId& job, AttemptEnd end, const JobAttempt& attempt, const Common::Result<Common::Done>& result)
{
    const auto found = m_live.find(job);
    if (!result || m_abandoned || found == m_live.end())
        return;
    LiveJob& live = found->second;
    const JobRecord& record = *m_shard.state().job(job);
    untrackAttempt(record, live, attempt);
    live.ending = false;
    live.phase = Phase::Queued;
    m_dependencies.counters.countAttemptEnd(end);
    if (end == AttemptEnd::Lost)
        this->recordEvent(Common::EventKind::JobAttemptLost, record);
    if (live.cancelling) {
        this->endJob(record, live, JobState::Cancelled, end, "cancelled");
        return;
    }
    if (end == AttemptEnd::Failed) {
        enqueueLater(job, failureBackoff(record));
        return;
    }
    if (end == AttemptEnd::NotStarted) {
        enqueueLater(job, m_dependencies.settings.noWorkerPause);
        return;
    }
    if (end == AttemptEnd::Evicted) {
        this->recordEvent(Common::EventKind::JobEvicted, record);
        m_dependencies.evicted(record.task(), record.checkpoint);
    }
    enqueue(record);
}

void JobShard::endJob(const JobRecord& record, LiveJob& live, JobState state, AttemptEnd end, const std::string& detail)
{
    live.ending = true;
    m_queue.remove(record.job);
    const std::optional<JobAttempt> attempt
        = record.openAttempt() != nullptr ? std::optional(*record.openAttempt()) : std::nullopt;
    LedgerDelta delta { LedgerDelta::JobEnded { record.job, state, end, wallClock(), detail } };
    m_shard.commit(std::move(delta),
        m_lifetime.guard([this, job = record.job, state, attempt](const Common::Result<Common::Done>& result) {
            onEndCommitted(job, state, attempt, result);
        }));
}

void JobShard::onEndCommitted(const Common::JobId& job, JobState state, const std::optional<JobAttempt>& attempt,
    const Common::Result<Common::Done>& result)
{
    const auto found = m_live.find(job);
    if (!result || m_abandoned || found == m_live.end())
        return;
    LiveJob& live = found->second;
    const JobRecord& record = *m_shard.state().job(job);
    if (attempt)
        untrackAttempt(record, live, *attempt);
    releaseQuota(record, live);
    m_controlled.erase(job);
    m_dependencies.counters.countJobEnd(state);
    if (state == JobState::Finished)
        this->recordEvent(Common::EventKind::JobFinished, record);
    else if (state == JobState::Cancelled)
        this->recordEvent(Common::EventKind::JobCancelled, record);
    else
        this->recordEvent(Common::EventKind::JobFailed, record, record.detail);
    const auto waiters = std::move(live.cancelWaiters);
    m_live.erase(found);
    for (const auto& waiter : waiters)
        waiter(Common::Done {});
}

void JobShard::untrackAttempt(const JobRecord& record, LiveJob& live, const JobAttempt& attempt)
{
    releaseQuota(record, live);
    m_controlled.erase(record.job);
    const auto watch = m_workers.find(attempt.worker);
    if (watch != m_workers.end()) {
        watch->second.jobs.erase(record.job);
        if (watch->second.jobs.empty())
            m_workers.erase(watch);
    }
    const Common::TaskId task(record.job.value() + "#" + std::to_string(attempt.number.value));
    m_dependencies.taskLauncher.acknowledge(attempt.worker, { task });
}

// Controls, repeated until a view shows their effect

void JobShard::sendControls()
{
    ControlBatch batch;
    for (auto job = m_controlled.begin(); job != m_controlled.end();) {
        const JobRecord* const record = m_shard.state().job(*job);
        const auto live = m_live.find(*job);
        if (record == nullptr || live == m_live.end()) {
            job = m_controlled.erase(job);
            continue;
        }
        if (record->openAttempt() != nullptr && live->second.nextControl <= now())
            addControl(*record, live->second, batch);
        ++job;
    }
    for (const auto& [target, tasks] : batch)
        m_dependencies.taskLauncher.control(target.first, target.second, tasks);
}

void JobShard::addControl(const JobRecord& record, LiveJob& live, ControlBatch& batch)
{
    live.nextControl = now() + m_dependencies.settings.controlRepeatInterval;
    // Without a new checkpoint in time the task resumes from the last recorded one.
    if (live.phase == Phase::Checkpointing && now() >= live.evictCheckpointUntil)
        live.phase = Phase::Stopping;
    const bool stop = record.cancelRequested || live.phase == Phase::Stopping;
    if (!stop && live.phase != Phase::Checkpointing)
        return;
    const auto control = stop ? Scheduler::TaskControl::Stop : Scheduler::TaskControl::Checkpoint;
    batch[{ record.openAttempt()->worker, control }].push_back(record.task());
}

// Periodic checks, once a second

void JobShard::runPeriodicChecks()
{
    resolveSilentAttempts();
    requestOverdueViews();
    m_shard.pruneJobs();
}

void JobShard::resolveSilentAttempts()
{
    const auto leaseDuration = std::chrono::ceil<std::chrono::seconds>(
        m_dependencies.settings.longestTaskLease + m_dependencies.settings.leaseMargin);
    const auto limit = static_cast<uint32_t>(leaseDuration.count()) * checksPerSecond;
    std::vector<Common::JobId> lost;
    for (auto& [worker, watch] : m_workers) {
        const bool reachable = m_dependencies.domainReachable && m_dependencies.domainReachable(worker);
        for (const Common::JobId& job : watch.jobs) {
            LiveJob& live = m_live[job];
            live.silentChecks = reachable ? live.silentChecks + 1 : 0;
            if (live.silentChecks > limit && !live.ending)
                lost.push_back(job);
        }
    }
    for (const Common::JobId& job : lost) {
        const JobRecord& record = *m_shard.state().job(job);
        if (record.openAttempt() != nullptr)
            resolveAttempt(record, m_live[job], AttemptEnd::Lost);
    }
}

void JobShard::requestOverdueViews()
{
    size_t requested = 0;
    for (auto& [worker, watch] : m_workers) {
        if (requested == maximumViewRequests)
            return;
        const Common::MonotonicTime last = std::max(watch.lastView, watch.lastRequested);
        if (now() - last < m_dependencies.settings.viewOverdue && last != Common::MonotonicTime {})
            continue;
        watch.lastRequested = now();
        m_dependencies.taskLauncher.requestView(worker);
        ++requested;
    }
}

} // namespace Ledger
