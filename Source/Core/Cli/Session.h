// What a command runs with: the client, the options, the streams, and functions for files, ids and time.
#pragma once

#include "Cli/DaemonClient.h"
#include "Cli/Options.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace Cli {

/// The program creates one for each run; tests replace the functions with fakes.
struct Session {
    DaemonClient& client;
    Options options;
    std::vector<std::string> arguments;
    std::ostream& output;
    std::ostream& errors;
    /// Nothing if the file can't be read; "-" is standard input.
    std::function<std::optional<std::string>(const std::string& path)> readFile;
    /// A unique id with the given prefix.
    std::function<std::string(const std::string& prefix)> makeId;
    std::function<Common::MonotonicTime()> now;
    std::function<void(Common::Duration)> sleep;
};

} // namespace Cli
