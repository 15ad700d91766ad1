// A daemon's mark on a worker: a lease under the daemon's name that every reader of the worker's report sees.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <chrono>
#include <string>

namespace Scheduler {

/// Of several unexpired claims the one with the highest (term, daemon) counts.
struct WorkerClaim {
    Common::DaemonId daemon;
    /// Where that daemon's peers reach it, so that a displaced owner can tell its successor.
    std::string address;
    Common::ClaimTerm term;
    /// When the worker first saw this claim and when it lapses, on the worker's clock.
    Common::WorkerTime madeAt;
    Common::WorkerTime expiresAt;
};

} // namespace Scheduler
