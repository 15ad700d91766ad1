// The one control message that an owner sends a worker, about once a second.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Scheduler {

/// Makes or renews the claim, renews task leases and acknowledges ended tasks, then yields the report.
struct SyncRequest {
    Common::DaemonId daemon;
    std::string address;
    /// Nothing: only read the report. Otherwise make or renew a claim under this term.
    std::optional<Common::ClaimTerm> claimTerm;
    std::chrono::milliseconds claimTimeToLive {};
    /// Withdraws the daemon's claim instead (direct hand-over).
    bool withdrawClaim = false;
    std::vector<Common::TaskId> tasksToRenew;
    std::chrono::milliseconds taskLeaseTimeToLive {};
    /// Ended tasks that need not be reported any more.
    std::vector<Common::TaskId> tasksToAcknowledge;
};

} // namespace Scheduler
