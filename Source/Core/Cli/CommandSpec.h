// The tool's commands: names, arguments, flags and help.
#pragma once

#include <string>
#include <vector>

namespace Cli {

struct CommandSpec {
    /// "config apply"
    std::string name;
    /// As the help shows them: "FILE".
    std::string arguments;
    size_t fewestArguments = 0;
    size_t mostArguments = 0;
    std::string summary;
    /// Beside those that every command takes: --daemon, --json, --timeout.
    std::vector<std::string> flags;
    /// More for the command's own help; may be empty.
    std::string details;
};

const std::vector<CommandSpec>& commandSpecs();
const CommandSpec* findCommand(const std::string& name);
/// All flags of a command.
std::vector<std::string> flagsOf(const CommandSpec&);
std::string generalHelp();
std::string commandHelp(const CommandSpec&);

} // namespace Cli
