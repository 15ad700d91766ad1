// Reads and prints the operators' configuration document.
#pragma once

#include "Config/Checked.h"
#include "Scheduler/ClusterConfig.h"

#include <string>
#include <string_view>

namespace Config {

/// Reads JSON with comments and checks it as a whole: names, types, ranges, references. Durations are text with a
/// unit ("800ms", "2s", "5m", "1h"). The revision is not part of the text and stays zero.
Checked<Scheduler::ClusterConfig> parseClusterConfig(std::string_view text);

/// The canonical text: every setting written out, names in order, no comments. Parsing it yields the same again.
std::string printClusterConfig(const Scheduler::ClusterConfig&);

} // namespace Config
