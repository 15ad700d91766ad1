// The periodic control message from a worker's owner to the worker, sent about once a second.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Scheduler {

/// Makes or renews the daemon's claim, renews task leases and acknowledges ended tasks. The worker answers with a
/// WorkerReport.
struct SyncRequest {
    Common::DaemonId daemon;
    /// Where peers reach the daemon, "IP:port".
    std::string address;
    /// Term under which to make or renew the claim; none: only read the report.
    std::optional<Common::ClaimTerm> claimTerm;
    std::chrono::milliseconds claimTimeToLive {};
    /// Withdraws the daemon's claim instead, to hand the worker over at once.
    bool withdrawClaim = false;
    /// Tasks whose leases are extended to taskLeaseTimeToLive from now.
    std::vector<Common::TaskId> tasksToRenew;
    std::chrono::milliseconds taskLeaseTimeToLive {};
    /// Ended tasks that no longer need to be reported.
    std::vector<Common::TaskId> tasksToAcknowledge;
};

} // namespace Scheduler
