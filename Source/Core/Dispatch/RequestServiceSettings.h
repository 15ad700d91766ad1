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
    int maximumForwards = 3;
    /// A second attempt is sent beside the first, out of the retry budget, after this share of the time to the
    /// deadline.
    int64_t secondAttemptPercent = 50;
    /// While the ledger of a request's id is being handed over, its owner is asked again this often and this long.
    Common::Duration ownerRetryInterval = std::chrono::milliseconds(150);
    Common::Duration ownerRetryTimeout = std::chrono::seconds(2);
    /// When callers that were refused for want of a configuration, an owner or a peer may come back.
    Common::Duration retryAfter = std::chrono::milliseconds(500);
};

} // namespace Dispatch
