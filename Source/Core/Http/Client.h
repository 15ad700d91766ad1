// HTTP client: curl's multi interface driven by the event loop.
#pragma once

#include "Common/Result.h"
#include "Http/Request.h"
#include "Http/Response.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Http {

class EventLoop;

/// Keeps connections alive per address and reuses them.
/// Failures: ConnectFailed (nothing was sent), Timeout, ConnectionLost (may have been received), TruncatedAnswer.
class Client {
public:
    struct Limits {
        long maximumConnectionsPerAddress = 60;
        Common::Duration connectTimeout = std::chrono::seconds(1);
        /// A longer answer is cut off and reported as truncated.
        size_t maximumAnswerBytes = size_t { 64 } << 20;
    };

    Client(EventLoop&, Limits);
    ~Client();

    /// Sends to "IP:port". The callback is called once, on the loop, never from within this call.
    /// After a timeout the connection is dropped, not reused, so that a silent one is tried only once.
    uint64_t send(const std::string& address, Request, Common::Duration timeout, Common::Callback<Response>);
    /// Drops a request; its callback is not called.
    void abandon(uint64_t);

private:
    struct Impl;
    struct Shard;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Http
