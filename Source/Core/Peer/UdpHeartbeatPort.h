// Sends and receives heartbeats as UDP datagrams on the process's event loop.
#pragma once

#include "Cells/HeartbeatPort.h"
#include "Common/Result.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Http {
class EventLoop;
}

namespace Peer {

/// A datagram that can't be sent at once is dropped, since the next heartbeat carries the same information.
class UdpHeartbeatPort final : public Cells::HeartbeatPort {
public:
    explicit UdpHeartbeatPort(Http::EventLoop&);
    ~UdpHeartbeatPort() override;

    /// Binds "IP:port". Fails with InvalidSetting.
    Common::Result<Common::Done> listen(const std::string& address);

    void send(const std::string& address, std::string_view text) override;
    void onReceive(std::function<void(std::string_view)>) override;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Peer
