// Forwards requests to peers over HTTP.
#pragma once

#include "Dispatch/ForwardPort.h"

namespace Http {
class Client;
}

namespace Daemon {

class HttpForward final : public Dispatch::ForwardPort {
public:
    /// The client outlives this object.
    explicit HttpForward(Http::Client& client)
        : m_client(client)
    {
    }

    void forward(const std::string& address, const Dispatch::IncomingRequest&, Common::Duration timeout,
        Dispatch::OutcomeCallback) override;
    void cancel(const std::string& address, const std::string& requestId) override;

private:
    Http::Client& m_client;
};

} // namespace Daemon
