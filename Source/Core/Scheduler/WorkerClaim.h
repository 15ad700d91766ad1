// A daemon's claim to own a worker: a lease that the worker holds and lists in every report.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <chrono>
#include <string>

namespace Scheduler {

/// Of several unexpired claims the one with the highest (term, daemon) wins.
struct WorkerClaim {
    Common::DaemonId daemon;
    /// Where peers reach that daemon, so that a displaced owner can notify its successor.
    std::string address;
    Common::ClaimTerm term;
    /// When the worker first saw this claim and when the claim expires, on the worker's clock.
    Common::WorkerTime madeAt;
    Common::WorkerTime expiresAt;
};

} // namespace Scheduler
