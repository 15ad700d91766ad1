// Parses and prints the operators' configuration document.
#pragma once

#include "Config/Checked.h"
#include "Scheduler/ClusterConfig.h"

#include <string>
#include <string_view>

namespace Config {

/// Parses JSON with comments and checks the whole document: names, types, ranges and references. Durations are text
/// with a unit ("800ms", "2s", "5m", "1h"). The revision is not part of the text and stays zero.
Checked<Scheduler::ClusterConfig> parseClusterConfig(std::string_view text);

/// The canonical text: every setting with its value, sorted by name, without comments. Parsing it yields an equal
/// configuration, except for the revision.
std::string printClusterConfig(const Scheduler::ClusterConfig&);

} // namespace Config
