// The table of a daemon's settings.
#pragma once

#include "Config/DaemonSettings.h"
#include "Config/SettingsTable.h"

namespace Config {

const SettingsTable<DaemonSettings>& daemonSettingsTable();

} // namespace Config
