// A service beside which backfill may run.
#pragma once

#include <string>

namespace Policy {

/// A service's task on the worker.
struct PacedService {
    std::string image;
    /// Last reported tail latency divided by its target; negative: not reported yet.
    double tailRatio = -1;
};

} // namespace Policy
