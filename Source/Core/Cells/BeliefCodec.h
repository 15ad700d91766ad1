// What was learned of images that disturb each other, as hosts tell it and the store keeps it.
#pragma once

#include "Policy/TailModel.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Cells {

nlohmann::json beliefsToJson(const std::vector<Policy::TailModel::Belief>&);
/// Throws what the JSON library throws when the rows have another shape.
std::vector<Policy::TailModel::Belief> beliefsFromJson(const nlohmann::json&);

} // namespace Cells
