// Sends the tool's calls; curl under the tool, a fake under tests.
#pragma once

#include "Cli/HttpReply.h"
#include "Common/Result.h"

#include <string>

namespace Cli {

struct HttpCall;

class Transport {
public:
    virtual ~Transport() = default;

    /// Blocks. Failures: ConnectFailed (nothing was sent), Timeout, ConnectionLost, TruncatedAnswer.
    virtual Common::Result<HttpReply> send(const std::string& address, const HttpCall&) = 0;
};

} // namespace Cli
