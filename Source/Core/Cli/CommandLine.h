// Splits the command line into command, arguments and flags.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Cli {

struct CommandSpec;

/// A command with what it was given; flags are known to the command, their texts are not read yet.
struct Invocation {
    const CommandSpec* command = nullptr;
    std::vector<std::string> arguments;
    std::vector<std::pair<std::string, std::string>> flags;
};

struct HelpWanted {
    std::string text;
};

struct UsageError {
    std::string text;
};

using ParsedCommandLine = std::variant<Invocation, HelpWanted, UsageError>;

/// `words` are the program's arguments without its name. Flags may stand anywhere; "--" ends them.
ParsedCommandLine parseCommandLine(const std::vector<std::string>& words);

} // namespace Cli
