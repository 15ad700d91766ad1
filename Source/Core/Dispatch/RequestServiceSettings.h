// Limits, intervals and timeouts of RequestService.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Dispatch {

struct RequestServiceSettings {
    /// Maximum number of active requests, and of bytes in their bodies.
    size_t maximumKeptRequests = 20000;
    size_t maximumKeptBytes = size_t { 48 } << 20;
    /// How often a request may be forwarded.
    int maximumHops = 1;
    /// Number of forwards after which a request waits here.
    int maximumForwards = 3;
    /// A second attempt is sent while the first is unanswered, within the retry budget, after this share of the time
    /// left to the deadline.
    int64_t secondAttemptPercent = 50;
    /// Retry interval and timeout while the ledger shard of a request's id is being handed over.
    Common::Duration ownerRetryInterval = std::chrono::milliseconds(150);
    Common::Duration ownerRetryTimeout = std::chrono::seconds(2);
    /// When a refused caller may retry, for example because no configuration, owner or peer is available.
    Common::Duration retryAfter = std::chrono::milliseconds(500);
};

} // namespace Dispatch
