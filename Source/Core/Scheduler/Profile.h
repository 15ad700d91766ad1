// A named profile: how one kind of work is to be treated.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/Priority.h"
#include "Scheduler/SpillScope.h"

namespace Scheduler {

/// Defaults are those of a field left out of the configuration.
struct Profile {
    Common::ProfileName name;
    /// For requests: when the caller gives none. A caller may ask for less or more, up to maximumDeadline.
    Common::Duration deadline = std::chrono::seconds(2);
    Common::Duration maximumDeadline = std::chrono::seconds(60);
    /// Non-idempotent requests and jobs run at most once.
    bool idempotent = true;
    Priority priority = Priority::Normal;
    /// Longest time in the queue, and most requests in it.
    Common::Duration maximumQueueTime = std::chrono::seconds(1);
    uint32_t maximumQueued = 1000;
    /// The system's own retries, as a share of the answers, and the attempts at one request.
    uint32_t retryBudgetPercent = 10;
    uint32_t maximumAttempts = 2;
    SpillScope spill = SpillScope::Region;
    /// Batch: whether a running task may be evicted, and how long it runs at least before that.
    bool evictable = true;
    Common::Duration minimumRunTime = std::chrono::seconds(5);
    /// Batch: attempts that fail on distinct workers before the job is given up.
    uint32_t maximumJobFailures = 3;

    bool operator==(const Profile&) const = default;
};

} // namespace Scheduler
