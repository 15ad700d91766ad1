// Runs the jobs of one owned shard: queue, attempts, cancellation and eviction. JobService creates one for each shard.
#pragma once

#include "Common/Event.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/JobQueue.h"
#include "Ledger/JobService.h"
#include "Ledger/LedgerShard.h"
#include "Ledger/Lifetime.h"
#include "Ledger/LiveJob.h"
#include "Ledger/TeamUsage.h"
#include "Ledger/WorkerWatch.h"
#include "Scheduler/Reservation.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/TaskControl.h"
#include "Scheduler/TaskReport.h"
#include "Scheduler/TaskSpec.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Scheduler {
class ConfigView;
class TaskLauncher;
struct Profile;
struct WorkerView;
}

namespace Ledger {

class JobCounters;

/// Makes its decisions from the shard's durable state and the workers' views. Everything that must outlive this owner
/// is committed before it is acted on.
class JobShard {
public:
    struct Dependencies {
        Scheduler::ServiceContext context;
        Scheduler::TaskLauncher& taskLauncher;
        Scheduler::ConfigView& config;
        const LedgerSettings& settings;
        TeamUsage& usage;
        JobCounters& counters;
        JobService::DomainReachable domainReachable;
        JobService::EvictListener evicted;
    };

    JobShard(Dependencies, LedgerShard&);

    /// Returns the job that was submitted under this key, if it is durable. Fails with DuplicateId if a different job
    /// was submitted under it, durable or still being committed. Nothing otherwise.
    std::optional<Common::Result<JobService::Accepted>> findSubmitted(const JobSubmission&) const;
    void submit(const JobSubmission&, bool atMostOnce, Common::Callback<JobService::Accepted>);
    Common::Result<JobStatus> get(const Common::JobId&) const;
    void list(const JobQuery&, std::vector<JobStatus>&) const;
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    bool evict(const Common::TaskId&);
    /// Handles a view that lists all of the shard's tasks on the worker, and none of another shard.
    void onView(const Scheduler::WorkerView&);
    bool isWatching(const Common::WorkerId& worker) const { return m_workers.contains(worker); }
    /// Starts queued jobs and sends the task controls that are due.
    void tick();
    /// Handles silent workers, overdue views and retention. Called once a second.
    void runPeriodicChecks();
    /// Called when the shard is lost: answers all waiting callers and returns reservations and quota.
    void abandon();

    static Common::JobId jobId(ShardIndex, const std::string& key);

private:
    struct Accepting {
        JobSubmission submission;
        LedgerLog::Ticket ticket;
        Scheduler::TimerId timer {};
        std::vector<Common::Callback<JobService::Accepted>> waiters;
    };
    using ControlBatch = std::map<std::pair<Common::WorkerId, Scheduler::TaskControl>, std::vector<Common::TaskId>>;

    Common::MonotonicTime now() const;
    int64_t wallClock() const;
    Scheduler::Profile profileOf(const JobRecord&) const;
    JobStatus statusOf(const JobRecord&) const;
    JobState stateOf(const JobRecord&) const;
    void recordEvent(Common::EventKind, const JobRecord&, const std::string& note = {});

    void recoverJobs();
    void onAcceptCommitted(const Common::JobId&, const Common::Result<Common::Done>&);
    void onAcceptTimeout(const Common::JobId&);
    void armAcceptTimer(const Common::JobId&, Accepting&);
    void onCancelTimeout(const Common::JobId&);

    JobQueue::Item itemOf(const JobRecord&) const;
    bool quotaAllows(const JobQueue::Item&) const;
    void enqueue(const JobRecord&);
    void enqueueLater(const Common::JobId&, Common::Duration);
    void chargeQuota(const JobRecord&, LiveJob&);
    void releaseQuota(const JobRecord&, LiveJob&);

    void startNext(const JobQueue::Item&);
    Scheduler::TaskSpec specOf(const JobRecord&, uint32_t attempt) const;
    void onReserved(const JobQueue::Item&, const Common::Result<Scheduler::Reservation>&);
    void commitIntent(const JobRecord&, LiveJob&, const Scheduler::Reservation&);
    void onIntentCommitted(const Common::JobId&, const Common::Result<Common::Done>&);
    void trackAttempt(const JobRecord&, LiveJob&, LiveJob::Phase);
    void cancelIntent(const Common::JobId&, LiveJob&);
    void onStartAnswered(const Common::JobId&, uint32_t attempt, const Common::Result<Common::Done>&);

    void updateFromView(const JobRecord&, LiveJob&, const Scheduler::WorkerView&, const Scheduler::TaskReport*);
    void updateFromReport(const JobRecord&, LiveJob&, const Scheduler::TaskReport&);
    void checkReboot(const JobRecord&, LiveJob&);
    void recordRunning(const JobRecord&, LiveJob&, const Scheduler::TaskReport&);
    void cleanUpTask(const Scheduler::WorkerView&, const Scheduler::TaskReport&);
    void recordCheckpoint(const JobRecord&, LiveJob&, const std::string& checkpoint);

    /// Ends the open attempt. The job ends or is queued again, depending on whether it runs at most once, its failures
    /// and its cancellation.
    void resolveAttempt(const JobRecord&, LiveJob&, AttemptEnd, const std::string& checkpoint = {});
    std::optional<std::pair<JobState, std::string>> finalState(const JobRecord&, const LiveJob&, AttemptEnd) const;
    void requeue(const JobRecord&, LiveJob&, AttemptEnd, const std::string& checkpoint);
    void onRequeueCommitted(const Common::JobId&, AttemptEnd, const JobAttempt&, const Common::Result<Common::Done>&);
    void endJob(const JobRecord&, LiveJob&, JobState, AttemptEnd, const std::string& detail);
    void onEndCommitted(
        const Common::JobId&, JobState, const std::optional<JobAttempt>&, const Common::Result<Common::Done>&);
    void untrackAttempt(const JobRecord&, LiveJob&, const JobAttempt&);

    void sendControls();
    void addControl(const JobRecord&, LiveJob&, ControlBatch&);
    void resolveSilentAttempts();
    void requestOverdueViews();

    Dependencies m_dependencies;
    LedgerShard& m_shard;
    bool m_abandoned = false;
    JobQueue m_queue;
    /// One entry for each job that hasn't ended.
    std::unordered_map<Common::JobId, LiveJob> m_live;
    std::map<Common::JobId, Accepting> m_accepting;
    std::map<Common::WorkerId, WorkerWatch> m_workers;
    /// Jobs being cancelled or evicted on a worker.
    std::set<Common::JobId> m_controlled;
    uint32_t m_reserving = 0;
    Lifetime m_lifetime;
};

} // namespace Ledger
