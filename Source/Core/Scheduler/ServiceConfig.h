// Configuration of a latency-critical service.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

namespace Scheduler {

struct ServiceConfig {
    Common::ServiceName name;
    Common::ProfileName profile;
    Common::TeamName team;
    /// Resources that one request declares.
    Common::Resources resources { .slots = 1, .milliCores = 500, .memoryMegabytes = 256 };

    bool operator==(const ServiceConfig&) const = default;
};

} // namespace Scheduler
