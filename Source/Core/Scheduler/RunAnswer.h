// A worker's whole answer to a latency-critical request.
#pragma once

#include "Common/Ids.h"

#include <string>

namespace Scheduler {

/// Invariant: complete; the adapter turns a truncated answer, or one of another task, into a failure.
struct RunAnswer {
    Common::TaskId task;
    std::string contentType;
    std::string body;
};

} // namespace Scheduler
