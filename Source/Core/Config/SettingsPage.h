// Prints the tables of settings for docs/CONFIGURATION.md.
#pragma once

#include <string>

namespace Config {

/// Markdown: one table each for a daemon's settings, profiles, services and teams.
std::string settingsPage();

} // namespace Config
