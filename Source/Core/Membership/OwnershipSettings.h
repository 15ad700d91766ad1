// Times of the protocol by which one daemon holds one worker.
#pragma once

#include "Common/Units.h"

#include <chrono>

namespace Membership {

/// Invariant: startWindow < claimTimeToLive. The same in all daemons of a failure domain.
struct OwnershipSettings {
    /// How long after a sync an owner may start tasks, and how long a new claimant waits.
    std::chrono::milliseconds startWindow { 3000 };
    /// How long a claim outlives the last sync that renewed it.
    std::chrono::milliseconds claimTimeToLive { 6000 };
    /// By how much the daemon's own clock may run slower than a worker's.
    int64_t clockRateMarginPerMille = 10;
};

} // namespace Membership
