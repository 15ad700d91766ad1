// Accepts job calls on any daemon and forwards each one to the owner of the job's shard. The HTTP API calls it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/JobQuery.h"
#include "Ledger/JobService.h"
#include "Ledger/JobStatus.h"
#include "Ledger/JobSubmission.h"
#include "Ledger/LedgerSettings.h"
#include "Scheduler/ServiceContext.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Scheduler {
class MembershipView;
class PeerPort;
}

namespace Ledger {

class ShardOwners;

/// Serves the peer methods "jobs.submit", "jobs.get", "jobs.list", "jobs.cancel" and "jobs.usage".
class JobGateway {
public:
    struct CancelResult {
        Common::JobId job;
        /// Nothing on success.
        std::optional<Common::Failure> failure;
    };

    JobGateway(const Scheduler::ServiceContext&, ShardOwners&, JobService&, Scheduler::MembershipView&,
        Scheduler::PeerPort&, const LedgerSettings&);
    ~JobGateway();

    void start();

    /// Submits the job to its shard's owner. An empty key is replaced by a random one. After a lost answer the call is
    /// repeated under the same key, so that it creates one job. Fails as JobService::submit() does, with
    /// PeerUnavailable if no daemon is assigned to the shard, or as the last call to the owner did.
    void submit(JobSubmission, const Common::Callback<JobService::Accepted>&);
    void get(const Common::JobId&, const Common::Callback<JobStatus>&);
    /// Yields the jobs of all daemons that answer within peerTimeout, newest first.
    void list(const JobQuery&, const Common::Callback<std::vector<JobStatus>>&);
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    /// Makes one call to each owner, however many jobs it owns.
    void cancelMany(const std::vector<Common::JobId>&, const Common::Callback<std::vector<CancelResult>>&);

private:
    class Impl;

    std::string newKey();

    std::unique_ptr<Impl> m_impl;
    Scheduler::Runtime& m_runtime;
};

} // namespace Ledger
