// Jobs as any daemon serves them: sends each call to the owner of the job's shard.
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

    /// An empty key is made up here. A lost answer is asked for again under the same key.
    void submit(JobSubmission, const Common::Callback<JobService::Accepted>&);
    void get(const Common::JobId&, const Common::Callback<JobStatus>&);
    /// Of all daemons that answer in time.
    void list(const JobQuery&, const Common::Callback<std::vector<JobStatus>>&);
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    /// One call to each owner, however many jobs there are.
    void cancelMany(const std::vector<Common::JobId>&, const Common::Callback<std::vector<CancelResult>>&);

private:
    class Impl;

    std::string newKey();

    std::unique_ptr<Impl> m_impl;
    Scheduler::Runtime& m_runtime;
};

} // namespace Ledger
