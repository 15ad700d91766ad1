// One declared setting, without the structure that it is read into.
#pragma once

#include "Config/SettingRule.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Config {

struct SettingRow {
    /// Within its table: "membership.heartbeat".
    std::string path;
    SettingRule rule;
    /// True: there is no default.
    bool required = false;
    /// A sentence for the page of settings.
    std::string doc;
};

/// Reads an object against the rows: one entry a row, empty where the setting is left out or has a fault.
std::vector<std::optional<SettingValue>> readRows(const std::vector<SettingRow>&, const nlohmann::json& object,
    const std::string& basePath, std::vector<SettingFault>& faults);

/// "base.path", or the path alone when there is no base.
std::string joinPath(const std::string& base, const std::string& path);

} // namespace Config
