// HTTP client on the process's event loop, based on curl's multi interface.
#pragma once

#include "Common/Result.h"
#include "Http/Request.h"
#include "Http/Response.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Http {

class EventLoop;

/// Keeps connections to each address open and reuses them.
/// Failures: ConnectFailed (nothing was sent), Timeout and ConnectionLost (the server may have received the request),
/// TruncatedAnswer, ProtocolError (the answer is not HTTP).
class Client {
public:
    struct Limits {
        /// Requests beyond the limit wait for a free connection.
        long maximumConnectionsPerAddress = 60;
        Common::Duration connectTimeout = std::chrono::seconds(1);
        /// A longer answer fails with TruncatedAnswer.
        size_t maximumAnswerBytes = size_t { 64 } << 20;
    };

    Client(EventLoop&, Limits);
    ~Client();

    /// Sends a request to "IP:port" and returns its id. The callback is called once, on the loop, never from within
    /// this call. `timeout` includes the wait for a free connection. After a timeout the connection is closed, so that
    /// a connection that does not answer is used only once. When the loop is late, what has arrived is processed before
    /// a request times out, and an answer that is incomplete gets a short grace.
    uint64_t send(const std::string& address, Request, Common::Duration timeout, Common::Callback<Response>);
    /// Cancels a request, so that its callback is not called. Has no effect if the request has ended.
    void abandon(uint64_t);

private:
    struct Impl;
    struct Shard;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Http
