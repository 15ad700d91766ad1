// Datagrams between hosts. They may get lost.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Cells {

class HeartbeatPort {
public:
    virtual ~HeartbeatPort() = default;

    /// To "IP:port".
    virtual void send(const std::string& address, std::string_view text) = 0;
    virtual void onReceive(std::function<void(std::string_view)>) = 0;
};

} // namespace Cells
