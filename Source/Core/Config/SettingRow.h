// One declared setting, independent of the structure that its value is stored in.
#pragma once

#include "Config/SettingRule.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Config {

struct SettingRow {
    /// Path within its table: "membership.heartbeat".
    std::string path;
    SettingRule rule;
    /// True: the setting has no default and must be given.
    bool required = false;
    /// Description for the page of settings.
    std::string doc;
};

/// Reads the settings of an object. Returns one entry per row, empty where the setting is left out or has a fault.
std::vector<std::optional<SettingValue>> readRows(const std::vector<SettingRow>&, const nlohmann::json& object,
    const std::string& basePath, std::vector<SettingFault>& faults);

/// "base.path", or the other one alone if one of them is empty.
std::string joinPath(const std::string& base, const std::string& path);

} // namespace Config
