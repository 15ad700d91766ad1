// Finds the known name that a mistyped one was probably meant to be.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// The known name with the fewest single-letter edits from `name`; empty when none is near.
std::string nearestName(std::string_view name, const std::vector<std::string>& known);

} // namespace Config
