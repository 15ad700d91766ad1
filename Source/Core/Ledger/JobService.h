// Accepts, queues and starts the batch jobs of the shards that this process owns, and resolves their attempts from the
// workers' reports. JobGateway forwards calls to it.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Result.h"
#include "Ledger/JobQuery.h"
#include "Ledger/JobStatus.h"
#include "Ledger/JobSubmission.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/ShardIndex.h"
#include "Scheduler/ServiceContext.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Scheduler {
class ConfigView;
class TaskLauncher;
struct WorkerView;
}

namespace Ledger {

class ShardOwners;

/// Invariants: an attempt is durable before it starts; the next attempt is made only after the last one is resolved;
/// an at-most-once job gets no further attempt unless the last one is proven not to have started.
class JobService {
public:
    struct Accepted {
        Common::JobId job;
        /// A job with this key had been submitted before.
        bool known = false;
    };
    /// True if this process can reach a daemon in the worker's failure domain. Only then does a worker's silence prove
    /// that its leases have expired: a domain that is cut off continues to renew them.
    using DomainReachable = std::function<bool(const Common::WorkerId&)>;
    /// Called when an evicted job is queued again, with the checkpoint from which it resumes.
    using EvictListener = std::function<void(const Common::TaskId&, const std::string& checkpoint)>;

    JobService(const Scheduler::ServiceContext&, ShardOwners&, Scheduler::TaskLauncher&, Scheduler::ConfigView&,
        const LedgerSettings&, DomainReachable);
    ~JobService();

    void start();

    /// Succeeds once the job is durable. All failures except OutcomeUnknown prove that nothing was accepted; among them
    /// are NotOwner, StoreUnavailable, Overloaded and validation errors. After OutcomeUnknown submit again under the
    /// same key.
    void submit(const JobSubmission&, Common::Callback<Accepted>);
    /// Fails with UnknownJob, or with NotOwner if this process doesn't own the job's shard.
    Common::Result<JobStatus> get(const Common::JobId&) const;
    std::vector<JobStatus> list(const JobQuery&) const;
    /// Succeeds once the cancellation is durable. Fails with OutcomeUnknown after acceptTimeout; the cancellation may
    /// still take effect. Cancelling an ended job succeeds without effect.
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    /// Checkpoints and stops the task, then queues its job again. Returns false if the task isn't running here, its
    /// profile doesn't allow eviction yet, or the job runs at most once.
    bool evict(const Common::TaskId&);
    void onEvicted(EvictListener);

    /// Handles a view from a worker's owner. It must list at least the tasks of all shards that this process owns: a
    /// task that is missing counts as gone. Late and repeated views are harmless.
    void onView(const Scheduler::WorkerView&);

    /// Returns the resources that each team's unresolved attempts hold in this process's shards.
    std::map<Common::TeamName, Common::Resources> teamUsage() const;
    /// Sets the usage reported by the other daemons that own shards; `owners` counts them and this one.
    void setRemoteTeamUsage(std::map<Common::TeamName, Common::Resources>, uint32_t owners);

    /// Returns the shard of a job: 7 for "j-07-key". Nothing if the text is not a job id.
    static std::optional<ShardIndex> shardOfJob(const Common::JobId&);
    /// Returns the shard of a task: 7 for "j-07-key#3". Nothing if the text is not a task id.
    static std::optional<ShardIndex> shardOfTask(const Common::TaskId&);
    /// Returns the job of a task: "j-07-key" for "j-07-key#3". Nothing if the text is not a task id.
    static std::optional<Common::JobId> jobOfTask(const Common::TaskId&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
