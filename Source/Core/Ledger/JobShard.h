// The jobs of one owned shard.
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

/// Decides from the shard's durable state and the views of workers. Everything that must outlive this owner is
/// committed first and acted on after.
class JobShard {
public:
    struct Dependencies {
        Scheduler::ServiceContext context;
        Scheduler::TaskLauncher& plane;
        Scheduler::ConfigView& config;
        const LedgerSettings& settings;
        TeamUsage& usage;
        JobCounters& counters;
        JobService::DomainReachable domainReachable;
        JobService::EvictListener evicted;
    };

    JobShard(Dependencies, LedgerShard&);

    /// The job of that key when it is known, in the log or on its way; DuplicateId when it is another one.
    std::optional<Common::Result<JobService::Accepted>> known(const JobSubmission&) const;
    void submit(const JobSubmission&, bool atMostOnce, Common::Callback<JobService::Accepted>);
    Common::Result<JobStatus> get(const Common::JobId&) const;
    void list(const JobQuery&, std::vector<JobStatus>&) const;
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    bool evict(const Common::TaskId&);
    /// All of the shard's tasks on the worker, and none of another shard.
    void onView(const Scheduler::WorkerView&);
    bool watches(const Common::WorkerId& worker) const { return m_workers.contains(worker); }
    /// Starts what has room and sends controls that are due.
    void tick();
    /// Once a second: silent workers, overdue views, retention.
    void runPeriodicChecks();
    /// The shard is lost: answers those who wait.
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
    int64_t wall() const;
    Scheduler::Profile profileOf(const JobRecord&) const;
    JobStatus statusOf(const JobRecord&) const;
    JobState stateOf(const JobRecord&) const;
    void record(Common::EventKind, const JobRecord&, const std::string& note = {});

    void recoverJobs();
    void accepted(const Common::JobId&, const Common::Result<Common::Done>&);
    void acceptTimedOut(const Common::JobId&);
    void armAcceptTimer(const Common::JobId&, Accepting&);
    void cancelTimedOut(const Common::JobId&);

    JobQueue::Item itemOf(const JobRecord&) const;
    bool quotaAllows(const JobQueue::Item&) const;
    void enqueue(const JobRecord&);
    void enqueueLater(const Common::JobId&, Common::Duration);
    void chargeQuota(const JobRecord&, LiveJob&);
    void releaseQuota(const JobRecord&, LiveJob&);

    void startNext(const JobQueue::Item&);
    Scheduler::TaskSpec specOf(const JobRecord&, uint32_t attempt) const;
    void reserved(const JobQueue::Item&, const Common::Result<Scheduler::Reservation>&);
    void intend(const JobRecord&, LiveJob&, const Scheduler::Reservation&);
    void intended(const Common::JobId&, const Common::Result<Common::Done>&);
    void open(const JobRecord&, LiveJob&, LiveJob::Phase);
    void giveUpIntent(const Common::JobId&, LiveJob&);
    void started(const Common::JobId&, uint32_t attempt, const Common::Result<Common::Done>&);

    void judge(const JobRecord&, LiveJob&, const Scheduler::WorkerView&, const Scheduler::TaskReport*);
    void judgeReport(const JobRecord&, LiveJob&, const Scheduler::TaskReport&);
    void judgeOtherBoot(const JobRecord&, LiveJob&);
    void seenRunning(const JobRecord&, LiveJob&, const Scheduler::TaskReport&);
    void cleanUpTask(const Scheduler::WorkerView&, const Scheduler::TaskReport&);
    void recordCheckpoint(const JobRecord&, LiveJob&, const std::string& checkpoint);

    /// Ends the open attempt: what follows depends on the job's promise, its failures and its cancellation.
    void resolve(const JobRecord&, LiveJob&, AttemptEnd, const std::string& checkpoint = {});
    std::optional<std::pair<JobState, std::string>> finalState(const JobRecord&, const LiveJob&, AttemptEnd) const;
    void requeue(const JobRecord&, LiveJob&, AttemptEnd, const std::string& checkpoint);
    void requeued(const Common::JobId&, AttemptEnd, const JobAttempt&, const Common::Result<Common::Done>&);
    void end(const JobRecord&, LiveJob&, JobState, AttemptEnd, const std::string& detail);
    void ended(const Common::JobId&, JobState, const std::optional<JobAttempt>&, const Common::Result<Common::Done>&);
    void close(const JobRecord&, LiveJob&, const JobAttempt&);

    void sendControls();
    void addControl(const JobRecord&, LiveJob&, ControlBatch&);
    void checkSilence();
    void askForViews();

    Dependencies m_dependencies;
    LedgerShard& m_shard;
    bool m_abandoned = false;
    JobQueue m_queue;
    /// One for each job that hasn't ended.
    std::unordered_map<Common::JobId, LiveJob> m_live;
    std::map<Common::JobId, Accepting> m_accepting;
    std::map<Common::WorkerId, WorkerWatch> m_workers;
    /// Jobs being cancelled or evicted on a worker.
    std::set<Common::JobId> m_controlled;
    uint32_t m_reserving = 0;
    Lifetime m_lifetime;
};

} // namespace Ledger
