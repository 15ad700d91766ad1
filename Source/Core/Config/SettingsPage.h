// Prints the tables of settings for docs/CONFIGURATION.md.
#pragma once

#include <string>

namespace Config {

/// Markdown: one table each for the settings of daemons and of entry hosts, profiles, services and teams.
std::string settingsPage();

} // namespace Config
