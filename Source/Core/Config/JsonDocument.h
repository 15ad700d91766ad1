// Parses JSON with comments and reports the position of a syntax error and duplicate names.
#pragma once

#include "Config/SettingFault.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Empty after a syntax error. Of duplicate names the last value counts, and a fault is added for each repetition.
std::optional<nlohmann::json> parseJsonDocument(std::string_view text, std::vector<SettingFault>& faults);
/// Whether the text is valid UTF-8, which JSON strings require.
bool isUtf8(std::string_view);
/// A value as faults show it: JSON, truncated to 100 bytes.
std::string formatValue(const nlohmann::json&);

} // namespace Config
