// A named profile: deadline, priority, retry and eviction rules for one kind of work.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/Priority.h"
#include "Scheduler/SpillScope.h"

namespace Scheduler {

/// The defaults apply to fields that the configuration leaves out.
struct Profile {
    Common::ProfileName name;
    /// Deadline of a request whose caller sets none. Callers may set any deadline up to maximumDeadline.
    Common::Duration deadline = std::chrono::seconds(2);
    Common::Duration maximumDeadline = std::chrono::seconds(60);
    /// Non-idempotent requests and jobs run at most once.
    bool idempotent = true;
    Priority priority = Priority::Normal;
    /// Bounds on the time a request spends in the queue and on the number of queued requests.
    Common::Duration maximumQueueTime = std::chrono::seconds(1);
    uint32_t maximumQueued = 1000;
    /// Bounds on the system's own retries, in percent of the answers, and on the attempts at one request.
    uint32_t retryBudgetPercent = 10;
    uint32_t maximumAttempts = 2;
    SpillScope spill = SpillScope::Region;
    /// Batch: whether a running task may be evicted, and how long it must have run before that.
    bool evictable = true;
    Common::Duration minimumRunTime = std::chrono::seconds(5);
    /// Batch: the job fails after failed attempts on this many distinct workers.
    uint32_t maximumJobFailures = 3;

    bool operator==(const Profile&) const = default;
};

} // namespace Scheduler
