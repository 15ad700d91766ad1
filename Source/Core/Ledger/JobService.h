// Batch jobs of the shards that this process owns: accepted, queued, started, resolved from workers' reports.
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

/// Invariants: an attempt is durable before its start; the next attempt comes only after the last one is resolved;
/// an at-most-once job has no further attempt unless the last one is proved not to have started.
class JobService {
public:
    struct Accepted {
        Common::JobId job;
        /// The key was known already.
        bool known = false;
    };
    /// True when this process hears a daemon of the worker's domain. Only then does a worker's silence say that its
    /// leases have lapsed: a domain that is cut off goes on renewing them.
    using DomainReachable = std::function<bool(const Common::WorkerId&)>;
    /// Called when an evicted job is queued again, with the checkpoint that it resumes from.
    using EvictListener = std::function<void(const Common::TaskId&, const std::string& checkpoint)>;

    JobService(const Scheduler::ServiceContext&, ShardOwners&, Scheduler::TaskLauncher&, Scheduler::ConfigView&,
        const LedgerSettings&, DomainReachable);
    ~JobService();

    void start();

    /// Yields once the job is durable. NotOwner, StoreUnavailable, Overloaded and refusals prove that nothing was
    /// accepted; after OutcomeUnknown submit again under the same key.
    void submit(const JobSubmission&, Common::Callback<Accepted>);
    /// UnknownJob, or NotOwner when the job's shard isn't owned here.
    Common::Result<JobStatus> get(const Common::JobId&) const;
    std::vector<JobStatus> list(const JobQuery&) const;
    /// Yields once the wish is durable, or OutcomeUnknown after acceptTimeout: it may still take effect. Cancelling an
    /// ended job is a success without effect.
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    /// Checkpoints, stops and queues the job again. False when it isn't running here, may not be evicted by its
    /// profile, or runs at most once.
    bool evict(const Common::TaskId&);
    void onEvicted(EvictListener);

    /// What the owner of a worker reports: all batch tasks on it, at least those of all shards that this process owns;
    /// a task that is left out counts as gone. Late and repeated views do no harm.
    void onView(const Scheduler::WorkerView&);

    /// What each team's unresolved attempts of this process's shards hold, and what other daemons that own shards say
    /// of theirs; `owners` counts them and this one.
    std::map<Common::TeamName, Common::Resources> teamUsage() const;
    void setRemoteTeamUsage(std::map<Common::TeamName, Common::Resources>, uint32_t owners);

    /// "j-07-key" is of shard 7. Nothing when the text is no job's.
    static std::optional<ShardIndex> shardOfJob(const Common::JobId&);
    /// "j-07-key#3" is of shard 7.
    static std::optional<ShardIndex> shardOfTask(const Common::TaskId&);
    static std::optional<Common::JobId> jobOfTask(const Common::TaskId&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
