// The table of the settings of an entry host's process.
#pragma once

#include "Config/EntrySettings.h"
#include "Config/SettingsTable.h"

namespace Config {

const SettingsTable<EntrySettings>& entrySettingsTable();

} // namespace Config
