// Parses and prints durations as settings write them: "800ms", "2s", "5m", "1h".
#pragma once

#include "Common/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Config {

/// Parses a whole number of at most 9 digits and a unit (us, ms, s, m, h), without a sign or spaces; empty if the text
/// has another form.
std::optional<Common::Duration> parseDuration(std::string_view);
/// Prints the duration in the largest unit that gives a whole number; "0s" for zero.
std::string printDuration(Common::Duration);

} // namespace Config
