// Durations as settings write them: "800ms", "2s", "5m", "1h".
#pragma once

#include "Common/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Config {

/// A whole number and a unit (us, ms, s, m, h), without a sign or spaces.
std::optional<Common::Duration> parseDuration(std::string_view);
/// In the largest unit that gives a whole number.
std::string printDuration(Common::Duration);

} // namespace Config
