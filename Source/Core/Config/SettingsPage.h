// Prints the settings tables as the Markdown that docs/CONFIGURATION.md contains.
#pragma once

#include <string>

namespace Config {

/// One Markdown table each for the settings of daemons and of entry hosts, profiles, services and teams.
std::string settingsPage();

} // namespace Config
