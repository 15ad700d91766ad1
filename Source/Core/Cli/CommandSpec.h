// The tool's commands: names, arguments, flags and help.
#pragma once

#include <string>
#include <vector>

namespace Cli {

struct CommandSpec {
    /// "config apply"
    std::string name;
    /// The arguments as the help shows them: "FILE". Empty if there are none.
    std::string arguments;
    size_t minimumArguments = 0;
    size_t maximumArguments = 0;
    std::string summary;
    /// Names of the command's own flags, besides --daemon, --json and --timeout, which every command takes.
    std::vector<std::string> flags;
    /// Additional text for the command's own help; may be empty.
    std::string details;
};

const std::vector<CommandSpec>& commandSpecs();
/// Null if there is no such command.
const CommandSpec* findCommand(const std::string& name);
/// All flags of a command, with those that every command takes.
std::vector<std::string> flagsOf(const CommandSpec&);
std::string generalHelp();
std::string commandHelp(const CommandSpec&);

} // namespace Cli
