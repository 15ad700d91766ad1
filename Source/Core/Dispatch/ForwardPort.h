// Port for forwarding a caller's request to another daemon.
#pragma once

#include "Common/Units.h"
#include "Dispatch/RequestOutcome.h"

#include <string>

namespace Dispatch {

struct IncomingRequest;

class ForwardPort {
public:
    virtual ~ForwardPort() = default;

    /// Passes the peer's outcome to the callback: NotRun with ConnectFailed if the peer can't be reached,
    /// OutcomeUnknown if it doesn't answer after the request was sent.
    virtual void forward(const std::string& address, const IncomingRequest&, Common::Duration timeout, OutcomeCallback)
        = 0;
    /// Cancels the request at the peer; its caller no longer waits.
    virtual void cancel(const std::string& address, const std::string& requestId) = 0;
};

} // namespace Dispatch
