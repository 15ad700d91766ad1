// One `lavendercartd` process: owns the node, its adapters and the HTTP port, from start to planned stop.
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

    /// Binds the port and starts all services. Returns the bound port; fails if the address can't be bound.
    Common::Result<uint16_t> start();
    /// Serves until a planned stop (SIGTERM, SIGINT or the API's drain) is complete.
    void run();

private:
    struct Components;

    Config::DaemonSettings m_settings;
    std::unique_ptr<Components> m_components;
};

} // namespace Daemon
