// Runs the tool, from its arguments to its exit code.
#pragma once

#include "Cli/ExitCode.h"

#include <string>
#include <vector>

namespace Cli {

/// `words` are the program's arguments without its name.
ExitCode runProgram(const std::vector<std::string>& words);

} // namespace Cli
