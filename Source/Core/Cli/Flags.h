// The tool's flags, defined with gflags.
#pragma once

#include "Cli/Options.h"
#include "Config/Checked.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Cli {

struct FlagInfo {
    std::string name;
    bool isBoolean = false;
    std::string description;
};

/// Names as people write them: "deadline-ms".
std::optional<FlagInfo> findFlag(const std::string& name);
/// The flags with the given texts; the environment's LAVENDERCART_DAEMON where --daemon is not given.
/// A text that a flag can't take is a fault whose path is the flag's name.
Config::Checked<Options> readOptions(const std::vector<std::pair<std::string, std::string>>& flags);

} // namespace Cli
