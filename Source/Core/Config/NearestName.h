// Suggests the known name that is closest to a mistyped one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// The known name with the fewest single-letter edits from `name`, regardless of case; a prefix of three letters or
/// more counts as one edit. Empty if no name is near.
std::string nearestName(std::string_view name, const std::vector<std::string>& known);

} // namespace Config
