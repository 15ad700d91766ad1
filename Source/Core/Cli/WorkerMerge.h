// Merges the workers that several daemons list.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Cli {

/// One row a worker, by name: its owner's if there is one, otherwise the first that was given.
std::vector<nlohmann::json> mergeWorkers(const std::vector<nlohmann::json>& answers);

} // namespace Cli
