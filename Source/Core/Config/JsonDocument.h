// Reads JSON with comments, with the place of a syntax error and with names that are given twice.
#pragma once

#include "Config/SettingFault.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Nothing after a syntax error. After duplicate names the last value counts, and a fault is added for each.
std::optional<nlohmann::json> parseJsonDocument(std::string_view text, std::vector<SettingFault>& faults);
/// Whether JSON can carry the text.
bool isUtf8(std::string_view);
/// A value as a fault shows it: JSON, cut when long.
std::string shownValue(const nlohmann::json&);

} // namespace Config
