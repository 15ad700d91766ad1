// Splits the command line into command, arguments and flags.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Cli {

struct CommandSpec;

/// A command with its arguments and flags. The command takes all of these flags; their values are still unparsed.
struct Invocation {
    const CommandSpec* command = nullptr;
    std::vector<std::string> arguments;
    std::vector<std::pair<std::string, std::string>> flags;
};

/// The help that was asked for, as printed.
struct HelpRequested {
    std::string text;
};

/// What is wrong with the command line, in one line.
struct UsageError {
    std::string text;
};

using ParsedCommandLine = std::variant<Invocation, HelpRequested, UsageError>;

/// `words` are the program's arguments without its name. Flags may stand anywhere; "--" ends them.
ParsedCommandLine parseCommandLine(const std::vector<std::string>& words);

} // namespace Cli
