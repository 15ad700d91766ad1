// Bounds of the request path.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Dispatch {

struct RequestServiceSettings {
    /// Requests kept at once, and the bytes of their bodies.
    size_t maximumKeptRequests = 20000;
    size_t maximumKeptBytes = size_t { 48 } << 20;
    /// Daemons that one request may pass through beyond the first.
    int maximumHops = 1;
    /// Peers tried before the request waits here.
    int maximumForwards = 2;
    /// A second attempt is sent beside the first, out of the retry budget, after this share of the time to the
    /// deadline.
    int64_t secondAttemptPercent = 50;
    /// When callers that were refused for want of a configuration, an owner or a peer may come back.
    Common::Duration retryAfter = std::chrono::milliseconds(500);
};

} // namespace Dispatch
