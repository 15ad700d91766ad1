// Submission, lookup, cancellation, eviction and the queue of one shard's jobs.
#include "Ledger/JobShard.h"

#include "Common/Timeline.h"
#include "Ledger/JobCounters.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/TaskLauncher.h"

#include <algorithm>

namespace Ledger {

namespace {

    std::string padded(uint32_t number)
    {
        const std::string digits = std::to_string(number);
        return digits.size() < 2 ? "0" + digits : digits;
    }

    Common::Failure notOwner()
    {
        return Common::Failure { Common::ErrorCode::NotOwner, "another daemon owns the job's shard" };
    }

} // namespace

JobShard::JobShard(Dependencies dependencies, LedgerShard& shard)
    : m_dependencies(std::move(dependencies))
    , m_shard(shard)
    , m_queue(m_dependencies.settings.agingStep)
{
    recoverJobs();
}

Common::JobId JobShard::jobId(ShardIndex shard, const std::string& key)
{
    return Common::JobId("j-" + padded(shard.value) + "-" + key);
}

Common::MonotonicTime JobShard::now() const { return m_dependencies.context.runtime.now(); }

int64_t JobShard::wallClock() const { return m_dependencies.context.runtime.wallMilliseconds(); }

Scheduler::Profile JobShard::profileOf(const JobRecord& record) const
{
    const auto config = m_dependencies.config.current();
    if (!config)
        return {};
    const auto found = config->profiles.find(record.submission.profile);
    return found == config->profiles.end() ? Scheduler::Profile {} : found->second;
}

void JobShard::recordEvent(Common::EventKind kind, const JobRecord& record, const std::string& note)
{
    Common::Event event { .kind = kind, .job = record.job.value(), .attempt = record.lastAttempt(), .note = note };
    if (!record.attempts.empty())
        event.worker = record.attempts.back().worker.value();
    m_dependencies.context.timeline.record(std::move(event));
}

void JobShard::recoverJobs()
{
    std::vector<const JobRecord*> queued;
    for (const auto& [job, record] : m_shard.state().jobs()) {
        if (record.endState)
            continue;
        if (record.openAttempt() == nullptr)
            queued.push_back(&record);
        else
            trackAttempt(record, m_live[job], LiveJob::Phase::Starting);
    }
    std::sort(queued.begin(), queued.end(), [](const JobRecord* left, const JobRecord* right) {
        return std::pair(left->submittedAtMilliseconds, left->job)
            < std::pair(right->submittedAtMilliseconds, right->job);
    });
    for (const JobRecord* const record : queued) {
        LiveJob& live = m_live[record->job];
        if (record->cancelRequested)
            endJob(*record, live, JobState::Cancelled, AttemptEnd::Cancelled, "cancelled");
        else
            m_queue.push(itemOf(*record));
    }
}

// Submission

std::optional<Common::Result<JobService::Accepted>> JobShard::findSubmitted(const JobSubmission& submission) const
{
    const Common::JobId job = jobId(m_shard.index(), submission.key);
    const JobRecord* const record = m_shard.state().job(job);
    const auto accepting = m_accepting.find(job);
    if (record == nullptr && accepting == m_accepting.end())
        return std::nullopt;
    const JobSubmission& first = record != nullptr ? record->submission : accepting->second.submission;
    if (first != submission)
        return Common::Failure { Common::ErrorCode::DuplicateId, "another job was submitted under this key" };
    if (record == nullptr)
        return std::nullopt;
    return JobService::Accepted { job, true };
}

void JobShard::submit(const JobSubmission& submission, bool atMostOnce, Common::Callback<JobService::Accepted> done)
{
    if (const auto earlier = findSubmitted(submission)) {
        done(*earlier);
        return;
    }
    const Common::JobId job = jobId(m_shard.index(), submission.key);
    const auto pending = m_accepting.find(job);
    if (pending != m_accepting.end()) {
        if (pending->second.waiters.empty())
            armAcceptTimer(job, pending->second);
        pending->second.waiters.push_back(std::move(done));
        return;
    }
    if (m_shard.state().openJobs() + m_accepting.size() >= m_dependencies.settings.maximumOpenJobs) {
        done(Common::Failure { Common::ErrorCode::Overloaded, "the shard has too many open jobs",
            Common::Duration(std::chrono::seconds(5)) });
        return;
    }
    Accepting& accepting = m_accepting[job];
    accepting.submission = submission;
    accepting.waiters.push_back(std::move(done));
    armAcceptTimer(job, accepting);
    LedgerDelta delta { LedgerDelta::JobAccepted { job, submission, atMostOnce, wallClock() } };
    accepting.ticket = m_shard.commit(std::move(delta),
        m_lifetime.guard([this, job](const Common::Result<Common::Done>& result) { onAcceptCommitted(job, result); }));
}

void JobShard::onAcceptCommitted(const Common::JobId& job, const Common::Result<Common::Done>& result)
{
    const auto found = m_accepting.find(job);
    if (found == m_accepting.end())
        return;
    const Accepting accepting = std::move(found->second);
    m_accepting.erase(found);
    m_dependencies.context.runtime.cancel(accepting.timer);
    if (!result) {
        for (const auto& waiter : accepting.waiters)
            waiter(result.reason());
        return;
    }
    m_dependencies.counters.accepted.Increment();
    const JobRecord& record = *m_shard.state().job(job);
    this->recordEvent(Common::EventKind::JobAccepted, record);
    m_live[job];
    enqueue(record);
    bool first = true;
    for (const auto& waiter : accepting.waiters) {
        waiter(JobService::Accepted { job, !first });
        first = false;
    }
}

void JobShard::armAcceptTimer(const Common::JobId& job, Accepting& accepting)
{
    accepting.timer = m_dependencies.context.runtime.schedule(
        m_dependencies.settings.acceptTimeout, m_lifetime.guard([this, job] { onAcceptTimeout(job); }));
}

void JobShard::onAcceptTimeout(const Common::JobId& job)
{
    const auto found = m_accepting.find(job);
    if (found == m_accepting.end())
        return;
    const auto waiters = std::exchange(found->second.waiters, {});
    m_dependencies.counters.refused.Increment(static_cast<double>(waiters.size()));
    Common::Failure failure { Common::ErrorCode::OutcomeUnknown,
        "the job may have been accepted; submit again under the same key", m_dependencies.settings.storeRetryAfter };
    // The delta wasn't sent yet: once withdrawn, the job is certainly not accepted.
    if (m_shard.withdraw(found->second.ticket)) {
        m_accepting.erase(found);
        failure = { Common::ErrorCode::StoreUnavailable, "the job was not durable in time", failure.retryAfter };
    }
    for (const auto& waiter : waiters)
        waiter(failure);
}

// Lookup

JobState JobShard::stateOf(const JobRecord& record) const
{
    if (record.endState)
        return *record.endState;
    if (record.openAttempt() == nullptr)
        return JobState::Queued;
    const auto live = m_live.find(record.job);
    if (live == m_live.end())
        return JobState::Starting;
    switch (live->second.phase) {
    case LiveJob::Phase::Queued:
    case LiveJob::Phase::Reserving:
    case LiveJob::Phase::Intending:
    case LiveJob::Phase::Starting:
        return JobState::Starting;
    case LiveJob::Phase::Running:
        return JobState::Running;
    case LiveJob::Phase::Checkpointing:
    case LiveJob::Phase::Stopping:
        return JobState::Evicting;
    }
    return JobState::Starting;
}

JobStatus JobShard::statusOf(const JobRecord& record) const
{
    return JobStatus { .job = record.job,
        .team = record.submission.team,
        .profile = record.submission.profile,
        .state = stateOf(record),
        .detail = record.detail,
        .checkpoint = record.checkpoint,
        .submittedAtMilliseconds = record.submittedAtMilliseconds,
        .endedAtMilliseconds = record.endedAtMilliseconds,
        .attempts = record.attempts };
}

Common::Result<JobStatus> JobShard::get(const Common::JobId& job) const
{
    const JobRecord* const record = m_shard.state().job(job);
    if (record == nullptr)
        return Common::Failure { Common::ErrorCode::UnknownJob, "no such job, or it ended long ago" };
    return statusOf(*record);
}

void JobShard::list(const JobQuery& query, std::vector<JobStatus>& found) const
{
    for (const auto& [job, record] : m_shard.state().jobs()) {
        if (found.size() >= query.limit)
            return;
        if (!query.team.empty() && query.team != record.submission.team)
            continue;
        if (!query.state || *query.state == stateOf(record))
            found.push_back(statusOf(record));
    }
}

// Cancellation and eviction

void JobShard::cancel(const Common::JobId& job, Common::Callback<Common::Done> done)
{
    const JobRecord* const record = m_shard.state().job(job);
    if (record == nullptr) {
        done(Common::Failure { Common::ErrorCode::UnknownJob, "no such job, or it ended long ago" });
        return;
    }
    if (record->endState || record->cancelRequested) {
        done(Common::Done {});
        return;
    }
    LiveJob& live = m_live[job];
    if (live.cancelWaiters.empty()) {
        m_dependencies.context.runtime.schedule(
            m_dependencies.settings.acceptTimeout, m_lifetime.guard([this, job] { onCancelTimeout(job); }));
    }
    live.cancelWaiters.push_back(std::move(done));
    if (live.cancelling)
        return;
    live.cancelling = true;
    const bool onWorker = record->openAttempt() != nullptr || live.phase == LiveJob::Phase::Intending;
    if (!onWorker) {
        if (!live.ending)
            endJob(*record, live, JobState::Cancelled, AttemptEnd::Cancelled, "cancelled");
        return;
    }
    m_controlled.insert(job);
    m_shard.commit(LedgerDelta { LedgerDelta::CancelRequested { job } },
        m_lifetime.guard([this, job](const Common::Result<Common::Done>& result) {
            const auto found = m_live.find(job);
            if (found == m_live.end())
                return;
            for (const auto& waiter : std::exchange(found->second.cancelWaiters, {}))
                waiter(result);
        }));
}

/// The cancellation stays pending and takes effect once the store is available again.
void JobShard::onCancelTimeout(const Common::JobId& job)
{
    const auto live = m_live.find(job);
    if (live == m_live.end())
        return;
    const Common::Failure failure { Common::ErrorCode::OutcomeUnknown,
        "the cancellation is not durable yet and may still take effect", m_dependencies.settings.storeRetryAfter };
    for (const auto& waiter : std::exchange(live->second.cancelWaiters, {}))
        waiter(failure);
}

bool JobShard::evict(const Common::TaskId& task)
{
    const auto job = JobService::jobOfTask(task);
    const JobRecord* const record = job ? m_shard.state().job(*job) : nullptr;
    if (record == nullptr || record->openAttempt() == nullptr || record->task() != task || record->atMostOnce)
        return false;
    LiveJob& live = m_live[*job];
    const Scheduler::Profile profile = profileOf(*record);
    if (live.phase != LiveJob::Phase::Running || live.ending || live.cancelling || !profile.evictable)
        return false;
    if (now() - live.runningSince < profile.minimumRunTime)
        return false;
    live.phase = LiveJob::Phase::Checkpointing;
    live.evictCheckpointUntil = now() + m_dependencies.settings.evictCheckpointWait;
    live.nextControl = now();
    m_controlled.insert(*job);
    this->recordEvent(Common::EventKind::JobEvicting, *record);
    return true;
}

// The queue

JobQueue::Item JobShard::itemOf(const JobRecord& record) const
{
    return JobQueue::Item { .job = record.job,
        .team = record.submission.team,
        .priority = profileOf(record).priority,
        .declared = record.submission.resources,
        .submittedAtMilliseconds = record.submittedAtMilliseconds };
}

bool JobShard::quotaAllows(const JobQueue::Item& item) const
{
    const auto config = m_dependencies.config.current();
    if (!config)
        return false;
    const auto team = config->teams.find(item.team);
    return team == config->teams.end() || m_dependencies.usage.allows(item.team, item.declared, team->second.quota);
}

void JobShard::enqueue(const JobRecord& record)
{
    if (record.attempts.empty())
        m_queue.push(itemOf(record));
    else
        m_queue.pushFront(itemOf(record));
}

void JobShard::enqueueLater(const Common::JobId& job, Common::Duration delay)
{
    m_dependencies.context.runtime.schedule(delay, m_lifetime.guard([this, job] {
        const auto live = m_live.find(job);
        const JobRecord* const record = m_shard.state().job(job);
        const bool isQueued
            = live != m_live.end() && live->second.phase == LiveJob::Phase::Queued && !live->second.ending;
        if (isQueued && record != nullptr && record->openAttempt() == nullptr)
            enqueue(*record);
    }));
}

void JobShard::chargeQuota(const JobRecord& record, LiveJob& live)
{
    if (live.quotaCharged)
        return;
    live.quotaCharged = true;
    m_dependencies.usage.add(record.submission.team, record.submission.resources);
}

void JobShard::releaseQuota(const JobRecord& record, LiveJob& live)
{
    if (!live.quotaCharged)
        return;
    live.quotaCharged = false;
    m_dependencies.usage.subtract(record.submission.team, record.submission.resources);
}

/// The attempt never starts. If its intent was already sent, a delta after it records that; during a handover the log
/// still accepts it.
void JobShard::cancelIntent(const Common::JobId& job, LiveJob& live)
{
    m_dependencies.taskLauncher.release(*live.reservation);
    if (m_shard.withdraw(live.intent))
        return;
    m_shard.commit(LedgerDelta { LedgerDelta::AttemptEnded { job, AttemptEnd::NotStarted, {} } }, [](const auto&) {});
}

void JobShard::abandon()
{
    m_abandoned = true;
    for (auto& [job, live] : m_live) {
        if (const JobRecord* const record = m_shard.state().job(job))
            releaseQuota(*record, live);
        if (live.phase == LiveJob::Phase::Intending && live.reservation)
            cancelIntent(job, live);
        for (const auto& waiter : std::exchange(live.cancelWaiters, {}))
            waiter(notOwner());
    }
    for (const auto& entry : std::exchange(m_accepting, {})) {
        m_dependencies.context.runtime.cancel(entry.second.timer);
        const bool withdrawn = m_shard.withdraw(entry.second.ticket);
        const Common::Failure unknown { Common::ErrorCode::OutcomeUnknown,
            "the job may have been accepted; submit again under the same key" };
        for (const auto& waiter : entry.second.waiters)
            waiter(withdrawn ? notOwner() : unknown);
    }
}

} // namespace Ledger
