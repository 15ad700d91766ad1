// Sends the tool's HTTP calls. CurlTransport implements it; tests use a fake.
#pragma once

#include "Cli/HttpReply.h"
#include "Common/Result.h"

#include <string>

namespace Cli {

struct HttpCall;

class Transport {
public:
    virtual ~Transport() = default;

    /// Blocks until the answer is complete or the call has failed. Failures: ConnectFailed (nothing was sent), Timeout,
    /// ConnectionLost, TruncatedAnswer.
    virtual Common::Result<HttpReply> send(const std::string& address, const HttpCall&) = 0;
};

} // namespace Cli
