// Priority, retry limit and completion objective of a job, set by the route through which it was submitted.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>

namespace Jobs {

struct JobPolicy {
    std::string route;
    Common::ServiceName service;
    /// 0 is the highest priority.
    uint32_t priority = 0;
    /// The job fails after this many failed runs of one task; 0: no limit.
    uint32_t maximumAttempts = 0;
    /// The objective for the job's duration is `stretch` times its critical path, plus `targetDuration`.
    double stretch = 1;
    Common::Duration targetDuration {};
};

} // namespace Jobs
