// Parses addresses of the form "IP:port".
#include "Http/Address.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <string_view>

namespace Http {

namespace {

    std::string withoutBrackets(std::string_view host)
    {
        if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        return std::string(host);
    }

} // namespace

Common::Result<Address> parseAddress(const std::string& text)
{
    const Common::Failure malformed { Common::ErrorCode::InvalidSetting, text + " is not IP:port", std::nullopt };
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return malformed;
    Address address;
    address.host = withoutBrackets(std::string_view(text).substr(0, colon));
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return malformed;
    asio::error_code error;
    asio::ip::make_address(address.host, error);
    if (error)
        return malformed;
    return address;
}

} // namespace Http
