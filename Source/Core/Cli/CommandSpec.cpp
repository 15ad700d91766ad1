// The table of commands, and the help text generated from it.
#include "Cli/CommandSpec.h"

#include "Cli/Flags.h"

#include <algorithm>
#include <limits>

namespace Cli {

namespace {

    constexpr size_t anyNumber = std::numeric_limits<size_t>::max();

    const std::vector<std::string> commonFlags { "daemon", "json", "timeout" };

    const char* const exitCodeHelp = "Exit codes:\n"
                                     "  0  done\n"
                                     "  1  refused or not run: nothing has happened\n"
                                     "  2  wrong usage\n"
                                     "  3  conflict: another change or job was first\n"
                                     "  4  unknown: it may have happened; repeat with the same id to find out\n"
                                     "  5  no daemon could be reached\n"
                                     "  6  the document has faults\n"
                                     "  7  done or read, but not everywhere or not in time\n"
                                     "  8  the job has ended without success\n";

    std::vector<CommandSpec> configCommands()
    {
        return {
            { "config check", "FILE", 1, 1, "Check a configuration document without a daemon.", {}, "" },
            { "config apply", "FILE", 1, 1, "Put a document in force and wait until every live daemon has it.",
                { "base", "change-id", "author" },
                "The base is the revision in the first line of what `config show` printed, or --base. If another\n"
                "change was accepted since, nothing is written and the difference is shown.\n" },
            { "config show", "", 0, 0, "Print the document in force, or the difference to a file.",
                { "diff", "revision" }, "" },
            { "config history", "", 0, 0, "List accepted revisions, newest first.", { "limit" }, "" },
            { "config settings", "", 0, 0, "Print every setting with its range and default, in Markdown.", {}, "" },
            { "config status", "", 0, 0, "Which daemon has which revision in force.", {}, "" },
        };
    }

    std::vector<CommandSpec> workCommands()
    {
        return {
            { "request", "SERVICE", 1, 1, "Send a request and print the answer.",
                { "body", "file", "id", "deadline-ms", "content-type", "idempotent" },
                "The answer goes to standard output as it is; the outcome to standard error.\n" },
            { "job submit", "[FILE]", 0, 1, "Submit a batch job.",
                { "id", "team", "profile", "command", "slots", "milli-cores", "memory-mb", "accelerators", "wait" },
                "FILE holds the job as JSON with comments; flags replace its members.\n" },
            { "job status", "ID", 1, 1, "Look a job up.", { "wait" }, "" },
            { "job list", "", 0, 0, "List jobs.", { "team", "state", "limit" }, "" },
            { "job cancel", "ID...", 1, anyNumber, "Cancel jobs.", {}, "" },
        };
    }

    std::vector<CommandSpec> operationCommands()
    {
        return {
            { "workers", "", 0, 0, "List the workers of all daemons.", {}, "" },
            { "hosts", "", 0, 0, "List the daemons that one daemon sees as live.", {}, "" },
            { "drain", "", 0, 0, "Make one daemon hand over what it owns and stop.", {},
                "Needs exactly one address in --daemon.\n" },
            { "timeline", "", 0, 0, "Merge the events of all daemons.",
                { "hosts", "request", "job", "worker", "revision", "limit" }, "" },
        };
    }

    std::vector<CommandSpec> allCommands()
    {
        std::vector<CommandSpec> all = configCommands();
        for (const std::vector<CommandSpec>& more : { workCommands(), operationCommands() })
            all.insert(all.end(), more.begin(), more.end());
        return all;
    }

    std::string padded(const std::string& text, size_t width)
    {
        return text.size() < width ? text + std::string(width - text.size(), ' ') : text + " ";
    }

} // namespace

const std::vector<CommandSpec>& commandSpecs()
{
    static const std::vector<CommandSpec> specs = allCommands();
    return specs;
}

const CommandSpec* findCommand(const std::string& name)
{
    const std::vector<CommandSpec>& specs = commandSpecs();
    const auto found
        = std::find_if(specs.begin(), specs.end(), [&](const CommandSpec& spec) { return spec.name == name; });
    return found == specs.end() ? nullptr : &*found;
}

std::vector<std::string> flagsOf(const CommandSpec& spec)
{
    std::vector<std::string> flags = spec.flags;
    flags.insert(flags.end(), commonFlags.begin(), commonFlags.end());
    return flags;
}

std::string generalHelp()
{
    constexpr size_t nameWidth = 26;
    std::string text = "Usage: lavendercart COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
    for (const CommandSpec& spec : commandSpecs())
        text += "  " + padded(spec.name + " " + spec.arguments, nameWidth) + spec.summary + "\n";
    return text + "\n`lavendercart COMMAND --help` shows a command's flags.\n\n" + exitCodeHelp;
}

std::string commandHelp(const CommandSpec& spec)
{
    constexpr size_t flagWidth = 18;
    std::string text = "Usage: lavendercart " + spec.name + (spec.arguments.empty() ? "" : " ") + spec.arguments
        + " [FLAGS]\n\n" + spec.summary + "\n" + spec.details + "\nFlags:\n";
    for (const std::string& name : flagsOf(spec)) {
        const std::optional<FlagInfo> flag = findFlag(name);
        text += "  --" + padded(name, flagWidth) + (flag ? flag->description : "") + "\n";
    }
    return text + "\n" + exitCodeHelp;
}

} // namespace Cli
