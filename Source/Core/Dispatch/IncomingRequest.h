// A latency-critical request as it enters a daemon.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>
#include <string>

namespace Dispatch {

struct IncomingRequest {
    Common::RequestId id;
    Common::ServiceName service;
    /// Time left to answer; nothing: the profile's deadline.
    std::optional<Common::Duration> deadline;
    /// Nothing: as the profile says.
    std::optional<bool> idempotent;
    std::string contentType;
    std::string body;
    /// Daemons that have passed the request on.
    int hops = 0;
    /// The sender holds the durable intent of a non-idempotent request: run it once, without an intent of our own.
    bool intentHeld = false;
};

} // namespace Dispatch
