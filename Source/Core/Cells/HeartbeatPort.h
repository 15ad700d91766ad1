// Port for heartbeat datagrams between hosts. Datagrams may get lost; there is no delivery report.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Cells {

class HeartbeatPort {
public:
    virtual ~HeartbeatPort() = default;

    /// `address` is "IP:port".
    virtual void send(const std::string& address, std::string_view text) = 0;
    virtual void onReceive(std::function<void(std::string_view)>) = 0;
};

} // namespace Cells
