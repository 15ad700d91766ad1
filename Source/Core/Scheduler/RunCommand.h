// Runs one latency-critical request on a worker and waits for the whole answer.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct RunCommand {
    Common::TaskId task;
    Common::WorkerBootId boot;
    Common::WorkerTime startBy;
    Common::ServiceName service;
    Common::Resources declared;
    /// The caller's content type and bytes, passed on as they are.
    std::string contentType;
    std::string body;
    /// Give up after this long.
    Common::Duration timeout {};
};

} // namespace Scheduler
