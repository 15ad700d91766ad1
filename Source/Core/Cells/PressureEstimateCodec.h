// JSON encoding of pressure estimates, in heartbeats between hosts and in the store.
#pragma once

#include "Policy/TailLatencyModel.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Cells {

nlohmann::json pressureEstimatesToJson(const std::vector<Policy::TailLatencyModel::PressureEstimate>&);
/// Throws nlohmann::json::exception if the rows have another shape.
std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimatesFromJson(const nlohmann::json&);

} // namespace Cells
