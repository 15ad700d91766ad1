// Blocking HTTP calls through curl's easy interface.
#pragma once

#include "Cli/Transport.h"

namespace Cli {

class CurlTransport final : public Transport {
public:
    CurlTransport();
    ~CurlTransport() override;
    CurlTransport(const CurlTransport&) = delete;
    CurlTransport& operator=(const CurlTransport&) = delete;

    Common::Result<HttpReply> send(const std::string& address, const HttpCall&) override;
};

} // namespace Cli
