// The process of one entry host: creates and connects its services, and serves until a signal stops it.
#pragma once

#include "Common/Result.h"
#include "Config/EntrySettings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Entry {

class EntryProcess {
public:
    /// `settingsPath` is read again on SIGHUP; settings with faults are refused and logged.
    EntryProcess(Config::EntrySettings, std::string settingsPath);
    ~EntryProcess();

    /// Binds the addresses and starts all services. Fails if an address other than that of the metrics can't be bound.
    Common::Result<Common::Done> start();
    /// Serves until a planned stop (SIGTERM or SIGINT) is complete or its grace period is over.
    void run();

private:
    struct Components;

    Config::EntrySettings m_settings;
    std::unique_ptr<Components> m_components;
};

} // namespace Entry
