// HTTP server on the process's event loop, by RESTinio.
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

/// Answers may come later and in any order; each goes to the connection of its own request.
class Server {
public:
    /// Call once for each request, now or later, on the loop.
    using Responder = std::function<void(Response)>;
    using Handler = std::function<void(Request, Responder)>;
    /// A response with this status closes the connection without an answer (for stand-ins).
    static constexpr int dropConnection = 0;

    struct Limits {
        size_t maximumBodyBytes = size_t { 16 } << 20;
        Common::Duration idleTimeout = std::chrono::seconds(60);
        size_t maximumConnections = 4096;
    };

    Server(EventLoop&, Limits, Handler);
    ~Server();

    /// Binds "IP:port"; port 0 takes a free one. Yields the bound port.
    Common::Result<uint16_t> listen(const std::string& address);
    /// Answers close their connections from now on, so that callers come back on new ones, elsewhere.
    void closeAfterAnswers();
    /// Takes no new connections; open ones may finish.
    void stopAccepting();
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Http
