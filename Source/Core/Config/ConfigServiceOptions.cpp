// Derives the options of the configuration service from a daemon's settings.
#include "Config/ConfigServiceOptions.h"

#include "Config/DaemonSettings.h"

namespace Config {

ConfigServiceOptions ConfigServiceOptions::from(const DaemonSettings& settings)
{
    ConfigServiceOptions options;
    options.watchWait = settings.configWatchWait;
    options.storeTimeout = settings.storeTimeout;
    options.historyKept = static_cast<uint64_t>(settings.configHistoryKept);
    return options;
}

} // namespace Config
