// The process of one entry host: puts the services together and serves until it is told to stop.
#pragma once

#include "Common/Result.h"
#include "Config/EntrySettings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Entry {

class EntryProcess {
public:
    /// `settingsPath` is read again when the process is told that it has changed.
    EntryProcess(Config::EntrySettings, std::string settingsPath);
    ~EntryProcess();

    Common::Result<Common::Done> start();
    /// Returns when the process has stopped.
    void run();

private:
    struct Parts;

    Config::EntrySettings m_settings;
    std::unique_ptr<Parts> m_parts;
};

} // namespace Entry
