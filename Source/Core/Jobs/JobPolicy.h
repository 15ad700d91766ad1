// What the route that a job came in by promises for it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>

namespace Jobs {

struct JobPolicy {
    std::string route;
    Common::ServiceName service;
    /// 0 comes first.
    uint32_t priority = 0;
    /// Failed runs of one task after which the job fails; 0: no limit.
    uint32_t maximumAttempts = 0;
    /// The objective is `stretch` times the longest chain of work, plus `targetDuration`.
    double stretch = 1;
    Common::Duration targetDuration {};
};

} // namespace Jobs
