// Uses one UDP socket for all heartbeats.
#include "Peer/UdpHeartbeatPort.h"

#include "Common/Log.h"
#include "Http/Address.h"
#include "Http/EventLoop.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <map>

namespace Peer {

namespace {

    /// The largest UDP payload.
    constexpr size_t bufferBytes = 65'507;

} // namespace

struct UdpHeartbeatPort::Impl : std::enable_shared_from_this<UdpHeartbeatPort::Impl> {
    explicit Impl(asio::io_context& context)
        : socket(context)
    {
    }

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, bufferBytes> buffer {};
    std::function<void(std::string_view)> handler;
    std::map<std::string, asio::ip::udp::endpoint> endpoints;
    uint64_t dropped = 0;

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender, [self = shared_from_this()](const asio::error_code& error, size_t length) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error && self->handler)
                    self->handler(std::string_view(self->buffer.data(), length));
                self->receive();
            });
    }
};

UdpHeartbeatPort::UdpHeartbeatPort(Http::EventLoop& loop)
    : m_impl(std::make_shared<Impl>(loop.context()))
{
}

UdpHeartbeatPort::~UdpHeartbeatPort()
{
    asio::error_code ignored;
    m_impl->handler = nullptr;
    m_impl->socket.close(ignored);
}

Common::Result<Common::Done> UdpHeartbeatPort::listen(const std::string& address)
{
    const auto parsed = Http::parseAddress(address);
    if (!parsed)
        return parsed.reason();
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(parsed->host), parsed->port);
    asio::error_code error;
    m_impl->socket.open(endpoint.protocol(), error);
    if (!error)
        m_impl->socket.bind(endpoint, error);
    if (!error)
        m_impl->socket.non_blocking(true, error);
    if (error)
        return Common::Failure { Common::ErrorCode::InvalidSetting, address + ": " + error.message(), std::nullopt };
    m_impl->receive();
    return Common::Done {};
}

void UdpHeartbeatPort::send(const std::string& address, std::string_view text)
{
    auto endpoint = m_impl->endpoints.find(address);
    if (endpoint == m_impl->endpoints.end()) {
        const auto parsed = Http::parseAddress(address);
        if (!parsed) {
            LC_WARN(Peer, "event=heartbeat-address-invalid address=" << address);
            return;
        }
        endpoint = m_impl->endpoints
                       .emplace(address, asio::ip::udp::endpoint(asio::ip::make_address(parsed->host), parsed->port))
                       .first;
    }
    asio::error_code error;
    m_impl->socket.send_to(asio::buffer(text.data(), text.size()), endpoint->second, 0, error);
    // Logs the first failure and then each thousandth, since an unreachable host would flood the log.
    if (error && m_impl->dropped++ % 1000 == 0)
        LC_WARN(Peer, "event=heartbeat-not-sent address=" << address << " reason=" << error.message());
}

void UdpHeartbeatPort::onReceive(std::function<void(std::string_view)> handler)
{
    m_impl->handler = std::move(handler);
}

} // namespace Peer
