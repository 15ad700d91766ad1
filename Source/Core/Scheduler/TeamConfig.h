// A team and its quota.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

#include <cstdint>

namespace Scheduler {

struct TeamConfig {
    Common::TeamName name;
    /// Most that the team's running batch tasks may hold over the whole system; zero in a member means no limit there.
    Common::Resources quota;
    /// Most latency-critical requests under way at once per daemon; zero means no limit.
    uint32_t maximumConcurrentRequests = 0;

    bool operator==(const TeamConfig&) const = default;
};

} // namespace Scheduler
