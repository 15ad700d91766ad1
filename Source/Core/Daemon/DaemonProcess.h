// One `lavendercartd`: the node with its adapters and HTTP port, from start to planned stop.
#pragma once

#include "Common/Result.h"
#include "Config/DaemonSettings.h"

#include <memory>

namespace Daemon {

class DaemonProcess {
public:
    explicit DaemonProcess(Config::DaemonSettings);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    /// Binds the port and starts all services. Yields the bound port.
    Common::Result<uint16_t> start();
    /// Serves until a planned stop (SIGTERM, SIGINT or the API's drain) is complete.
    void run();

private:
    struct Parts;

    Config::DaemonSettings m_settings;
    std::unique_ptr<Parts> m_parts;
};

} // namespace Daemon
