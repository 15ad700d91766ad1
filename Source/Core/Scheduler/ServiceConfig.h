// A latency-critical service and the profile that it picks.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

namespace Scheduler {

struct ServiceConfig {
    Common::ServiceName name;
    Common::ProfileName profile;
    Common::TeamName team;
    /// Declared need of one request.
    Common::Resources resources { .slots = 1, .milliCores = 500, .memoryMegabytes = 256 };

    bool operator==(const ServiceConfig&) const = default;
};

} // namespace Scheduler
