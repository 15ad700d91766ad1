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

/// Nothing if there is no such flag. Names are those of the command line: "deadline-ms".
std::optional<FlagInfo> findFlag(const std::string& name);
/// Converts the flags' texts into options. Without --daemon, the environment's LAVENDERCART_DAEMON is used, and without
/// --author its USER. A text that a flag can't take is a fault whose path is the flag, "--deadline-ms".
Config::Checked<Options> readOptions(const std::vector<std::pair<std::string, std::string>>& flags);

} // namespace Cli
