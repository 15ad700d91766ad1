// What a command works with.
#pragma once

#include "Cli/DaemonClient.h"
#include "Cli/Options.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace Cli {

/// Built once a run; tests put fakes behind the functions.
struct Session {
    DaemonClient& client;
    Options options;
    std::vector<std::string> arguments;
    std::ostream& output;
    std::ostream& errors;
    /// Nothing when the file can't be read; "-" is standard input.
    std::function<std::optional<std::string>(const std::string& path)> readFile;
    /// An id that no one else makes, with the given beginning.
    std::function<std::string(const std::string& beginning)> makeId;
    std::function<Common::MonotonicTime()> now;
    std::function<void(Common::Duration)> sleep;
};

} // namespace Cli
