// Configuration of a team: its batch quota and request limit.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

#include <cstdint>

namespace Scheduler {

struct TeamConfig {
    Common::TeamName name;
    /// Limit on what the team's running batch tasks hold across the whole system; a member of zero means no limit.
    Common::Resources quota;
    /// Limit on the team's concurrent latency-critical requests per daemon; zero means no limit.
    uint32_t maximumConcurrentRequests = 0;

    bool operator==(const TeamConfig&) const = default;
};

} // namespace Scheduler
