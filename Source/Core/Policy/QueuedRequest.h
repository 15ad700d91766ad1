// A latency-critical request as the admission queue sees it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/Priority.h"

namespace Policy {

struct QueuedRequest {
    Common::RequestId id;
    Common::ProfileName profile;
    Common::TeamName team;
    Scheduler::Priority priority = Scheduler::Priority::Normal;
    Common::MonotonicTime arrival;
    Common::MonotonicTime deadline;
    /// Expected run time, used until run times of the profile are known; zero: no estimate.
    Common::Duration expectedRunTime {};
};

} // namespace Policy
