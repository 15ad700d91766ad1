// Passing a caller's request on to another daemon.
#pragma once

#include "Common/Units.h"
#include "Dispatch/RequestOutcome.h"

#include <string>

namespace Dispatch {

struct IncomingRequest;

class ForwardPort {
public:
    virtual ~ForwardPort() = default;

    /// Yields the peer's outcome. A peer that can't be reached is NotRun (ConnectFailed); one that went silent after
    /// the request was sent is OutcomeUnknown.
    virtual void forward(const std::string& address, const IncomingRequest&, Common::Duration timeout, OutcomeCallback)
        = 0;
    /// Tells the peer that the request was given up.
    virtual void cancel(const std::string& address, const std::string& requestId) = 0;
};

} // namespace Dispatch
