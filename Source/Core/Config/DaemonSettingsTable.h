// The declared settings of a daemon.
#pragma once

#include "Config/DaemonSettings.h"
#include "Config/SettingsTable.h"

namespace Config {

const SettingsTable<DaemonSettings>& daemonSettingsTable();

} // namespace Config
