// Time limits of the protocol that gives each worker one owner.
#pragma once

#include "Common/Units.h"

#include <chrono>

namespace Membership {

/// Invariants: startWindow < claimTimeToLive; all daemons of a failure domain have the same values.
struct OwnershipSettings {
    /// How long after a sync an owner may start tasks, and how long a new claimant waits before it owns the worker.
    std::chrono::milliseconds startWindow { 3000 };
    /// How long a claim outlives the last sync that renewed it.
    std::chrono::milliseconds claimTimeToLive { 6000 };
    /// How much slower the daemon's clock may run than a worker's.
    int64_t clockRateMarginPerMille = 10;
};

} // namespace Membership
