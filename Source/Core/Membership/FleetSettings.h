// Rates and time limits of the control of workers.
#pragma once

#include "Common/Units.h"
#include "Membership/OwnershipSettings.h"

#include <cstddef>

namespace Membership {

/// Invariant: syncInterval + syncTimeout < ownership.startWindow, so that one lost sync does not end authority.
struct FleetSettings {
    OwnershipSettings ownership;
    Common::Duration syncInterval = std::chrono::milliseconds(1000);
    /// Each interval is varied by this share, so that syncs spread out.
    int64_t syncJitterPerMille = 100;
    Common::Duration syncTimeout = std::chrono::milliseconds(900);
    /// Least time between two syncs of a worker.
    Common::Duration minimumSyncGap = std::chrono::milliseconds(200);
    /// First syncs of workers that are newly assigned are spread over this.
    Common::Duration firstSyncSpread = std::chrono::milliseconds(250);
    size_t maximumConcurrentSyncs = 384;
    /// A task survives its owner's death by this.
    std::chrono::milliseconds taskLease { 15000 };
    /// How often the second choice for a worker looks whether anyone has it, and the looks in a row that found nobody
    /// after which it claims the worker: the first choice can't reach it.
    Common::Duration standbyInterval = std::chrono::seconds(8);
    uint32_t standbyChecks = 2;
    Common::Duration hostListInterval = std::chrono::seconds(2);
    Common::Duration hostListTimeout = std::chrono::seconds(1);
    /// A worker that missed so many syncs in a row counts as unreachable.
    uint32_t unreachableAfterMisses = 3;
    /// Unreachable workers are tried at this rate.
    Common::Duration unreachableSyncInterval = std::chrono::seconds(3);
};

} // namespace Membership
