// HTTP server on the process's event loop, based on RESTinio.
#pragma once

#include "Common/Result.h"
#include "Http/Request.h"
#include "Http/Response.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Http {

class EventLoop;

/// Requests may be answered later and in any order; each answer goes to the connection of its request.
class Server {
public:
    /// To be called once for each request, from the handler or later, on the loop. Further calls have no effect.
    using Responder = std::function<void(Response)>;
    using Handler = std::function<void(Request, Responder)>;
    /// A response with this status closes the connection without an answer; stand-ins simulate faults with it.
    static constexpr int dropConnection = 0;

    struct Limits {
        /// A request with a longer body is answered with RequestTooLarge.
        size_t maximumBodyBytes = size_t { 16 } << 20;
        Common::Duration idleTimeout = std::chrono::seconds(60);
        /// Lowered to half of the process's limit of descriptors if that is less.
        size_t maximumConnections = 4096;
    };

    Server(EventLoop&, Limits, Handler);
    ~Server();

    /// Listens on "IP:port"; port 0 takes a free one. Returns the bound port, or fails with InvalidSetting.
    Common::Result<uint16_t> listen(const std::string& address);
    /// From now on each answer closes its connection, so that callers reconnect to another host.
    void closeAfterAnswers();
    /// Accepts no new connections; requests on open ones are still answered. Implies closeAfterAnswers().
    void stopAccepting();
    /// Also answers requests on open connections with Draining instead of calling the handler.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Http
