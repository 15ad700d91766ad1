// Parsing of the command line.
#include "Cli/CommandLine.h"

#include "Cli/CommandSpec.h"
#include "Cli/Flags.h"
#include "Config/NearestName.h"

#include <algorithm>

namespace Cli {

namespace {

    /// The words, sorted into plain ones and flags. Invariant: `error` is empty unless a flag is wrong.
    struct SplitWords {
        std::vector<std::string> plain;
        std::vector<std::pair<std::string, std::string>> flags;
        bool helpRequested = false;
        std::string error;
    };

    std::vector<std::string> allFlags()
    {
        std::vector<std::string> names;
        for (const CommandSpec& spec : commandSpecs()) {
            for (const std::string& flag : flagsOf(spec))
                names.push_back(flag);
        }
        return names;
    }

    std::string suggestion(const std::string& name, const std::vector<std::string>& known)
    {
        const std::string nearest = Config::nearestName(name, known);
        return nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
    }

    bool isKnownFlag(const std::string& name)
    {
        const std::vector<std::string> known = allFlags();
        return std::find(known.begin(), known.end(), name) != known.end();
    }

    /// Takes the flag at `index` and, when its value is the next word, that word too. Returns the last index taken.
    size_t takeFlag(const std::vector<std::string>& words, size_t index, SplitWords& split)
    {
        const std::string body = words[index].substr(2);
        const size_t equals = body.find('=');
        const std::string name = body.substr(0, equals);
        if (!isKnownFlag(name)) {
            split.error = "unknown flag --" + name + suggestion(name, allFlags());
            return index;
        }
        if (equals != std::string::npos) {
            split.flags.emplace_back(name, body.substr(equals + 1));
            return index;
        }
        if (findFlag(name)->isBoolean) {
            split.flags.emplace_back(name, "true");
            return index;
        }
        if (index + 1 >= words.size()) {
            split.error = "flag --" + name + " needs a value";
            return index;
        }
        split.flags.emplace_back(name, words[index + 1]);
        return index + 1;
    }

    SplitWords splitWords(const std::vector<std::string>& words)
    {
        SplitWords split;
        bool flagsEnded = false;
        for (size_t index = 0; index < words.size() && split.error.empty(); ++index) {
            const std::string& word = words[index];
            if (flagsEnded || word.compare(0, 1, "-") != 0 || word == "-")
                split.plain.push_back(word);
            else if (word == "--")
                flagsEnded = true;
            else if (word == "--help" || word == "-h")
                split.helpRequested = true;
            else if (word.compare(0, 2, "--") == 0)
                index = takeFlag(words, index, split);
            else
                split.error = "unknown flag " + word;
        }
        return split;
    }

    /// The command that the first one or two words name; takes them off.
    const CommandSpec* takeCommand(std::vector<std::string>& plain)
    {
        for (const size_t count : { size_t { 2 }, size_t { 1 } }) {
            if (plain.size() < count)
                continue;
            const std::string name = count == 2 ? plain[0] + " " + plain[1] : plain[0];
            const CommandSpec* const command = findCommand(name);
            if (!command)
                continue;
            plain.erase(plain.begin(), plain.begin() + static_cast<std::ptrdiff_t>(count));
            return command;
        }
        return nullptr;
    }

    std::string unknownCommand(const std::vector<std::string>& plain)
    {
        std::string name = plain[0];
        if (plain.size() > 1)
            name += " " + plain[1];
        std::vector<std::string> known;
        for (const CommandSpec& spec : commandSpecs())
            known.push_back(spec.name);
        return "unknown command \"" + name + "\"" + suggestion(name, known);
    }

    /// Why the command doesn't take these flags and arguments; empty if it does.
    std::string findUsageError(const CommandSpec& command, const SplitWords& split)
    {
        const std::vector<std::string> known = flagsOf(command);
        for (const auto& [name, text] : split.flags) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                return "`" + command.name + "` takes no flag --" + name;
        }
        if (split.plain.size() < command.minimumArguments)
            return "`" + command.name + "` needs " + command.arguments;
        if (split.plain.size() > command.maximumArguments)
            return "`" + command.name + "` does not take \"" + split.plain[command.maximumArguments] + "\"";
        return {};
    }

} // namespace

ParsedCommandLine parseCommandLine(const std::vector<std::string>& words)
{
    SplitWords split = splitWords(words);
    const bool isBare = split.plain.empty() && split.flags.empty() && split.error.empty();
    if (isBare || (split.helpRequested && split.plain.empty()))
        return HelpRequested { generalHelp() };
    if (!split.error.empty())
        return UsageError { split.error };
    if (split.plain.empty())
        return UsageError { "which command?" };
    const std::vector<std::string> plain = split.plain;
    const CommandSpec* const command = takeCommand(split.plain);
    if (!command)
        return split.helpRequested ? ParsedCommandLine(HelpRequested { generalHelp() })
                                   : UsageError { unknownCommand(plain) };
    if (split.helpRequested)
        return HelpRequested { commandHelp(*command) };
    const std::string error = findUsageError(*command, split);
    if (!error.empty())
        return UsageError { error };
    return Invocation { command, split.plain, split.flags };
}

} // namespace Cli
