// What was learned of images that disturb each other, as hosts tell it and the store keeps it.
#pragma once

#include "Policy/TailLatencyModel.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Cells {

nlohmann::json pressureEstimatesToJson(const std::vector<Policy::TailLatencyModel::PressureEstimate>&);
/// Throws what the JSON library throws when the rows have another shape.
std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimatesFromJson(const nlohmann::json&);

} // namespace Cells
