// Intervals, timeouts and limits of a daemon's syncs with its workers.
#pragma once

#include "Common/Units.h"
#include "Membership/OwnershipSettings.h"

#include <cstddef>

namespace Membership {

/// Invariant: syncInterval + syncTimeout < ownership.startWindow, so that one lost sync does not end authority.
struct FleetSettings {
    OwnershipSettings ownership;
    Common::Duration syncInterval = std::chrono::milliseconds(1000);
    /// Random jitter of each interval, so that syncs spread out.
    int64_t syncJitterPerMille = 100;
    Common::Duration syncTimeout = std::chrono::milliseconds(900);
    /// Minimum time between two syncs of a worker.
    Common::Duration minimumSyncGap = std::chrono::milliseconds(200);
    /// The first syncs of newly assigned workers are spread randomly over this time.
    Common::Duration firstSyncSpread = std::chrono::milliseconds(250);
    size_t maximumConcurrentSyncs = 384;
    /// How long a worker keeps a task running without a renewal by its owner.
    std::chrono::milliseconds taskLease { 15000 };
    /// How often the standby of a worker checks whether any daemon claims it, and after how many checks in a row
    /// without a claim it claims the worker itself, because the assigned daemon can't reach it.
    Common::Duration standbyInterval = std::chrono::seconds(8);
    uint32_t standbyChecks = 2;
    Common::Duration hostListInterval = std::chrono::seconds(2);
    Common::Duration hostListTimeout = std::chrono::seconds(1);
    /// A worker is unreachable after this many syncs in a row without a report.
    uint32_t unreachableAfterMisses = 3;
    /// Sync interval of unreachable workers.
    Common::Duration unreachableSyncInterval = std::chrono::seconds(3);
};

} // namespace Membership
