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
    /// Time left to answer, from arrival; empty for the profile's deadline.
    std::optional<Common::Duration> deadline;
    /// Empty for the profile's value.
    std::optional<bool> idempotent;
    std::string contentType;
    std::string body;
    /// Number of daemons that have forwarded the request.
    int hops = 0;
    /// The sending daemon holds the durable intent of a non-idempotent request: run it once and write no intent here.
    bool intentHeld = false;
};

} // namespace Dispatch
