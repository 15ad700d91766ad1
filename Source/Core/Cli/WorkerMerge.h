// Merges the lists of workers of several daemons.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Cli {

/// One row for each worker, ordered by name: the owner's row if there is one, otherwise the first.
std::vector<nlohmann::json> mergeWorkers(const std::vector<nlohmann::json>& answers);

} // namespace Cli
