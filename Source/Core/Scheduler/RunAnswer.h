// A worker's complete answer to a latency-critical request.
#pragma once

#include "Common/Ids.h"

#include <string>

namespace Scheduler {

/// Invariant: complete and for `task`; the port reports a truncated answer, or one for another task, as a failure.
struct RunAnswer {
    Common::TaskId task;
    std::string contentType;
    std::string body;
};

} // namespace Scheduler
