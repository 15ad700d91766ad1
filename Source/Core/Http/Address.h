// Parses addresses of the form "IP:port".
#pragma once

#include "Common/Result.h"

#include <cstdint>
#include <string>

namespace Http {

/// A numeric IP address and a port.
struct Address {
    /// Without brackets.
    std::string host;
    uint16_t port = 0;
};

/// "127.0.0.1:80" or "[::1]:80". Fails with InvalidSetting; names are not resolved.
Common::Result<Address> parseAddress(const std::string& text);

} // namespace Http
