// Parses the command line, creates a session with the system's files, clock and curl, and runs the command.
#include "Cli/Program.h"

#include "Cli/CommandLine.h"
#include "Cli/CommandSpec.h"
#include "Cli/Commands.h"
#include "Cli/CurlTransport.h"
#include "Cli/Flags.h"
#include "Cli/Session.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

namespace Cli {

namespace {

    const char* const defaultDaemon = "127.0.0.1:7100";

    std::optional<std::string> readFile(const std::string& path)
    {
        if (path == "-")
            return std::string(std::istreambuf_iterator<char>(std::cin), {});
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::string text(std::istreambuf_iterator<char>(file), {});
        return file.bad() ? std::nullopt : std::optional(std::move(text));
    }

    std::string makeId(const std::string& prefix)
    {
        std::random_device device;
        std::ostringstream id;
        id << prefix << "-" << std::hex << device() << device();
        return id.str();
    }

    Common::MonotonicTime monotonicNow()
    {
        const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
        return Common::MonotonicTime(std::chrono::duration_cast<Common::Duration>(sinceBoot));
    }

    ExitCode usageError(const std::string& text)
    {
        std::cerr << text << "\nSee `lavendercart --help`.\n";
        return ExitCode::Usage;
    }

    ExitCode runInvocation(const Invocation& invocation)
    {
        const Config::Checked<Options> options = readOptions(invocation.flags);
        if (!options)
            return usageError(Config::describe(options.faults()));
        CurlTransport transport;
        const bool isNamed = !options->daemons.empty();
        DaemonClient client(transport, isNamed ? options->daemons : std::vector<std::string> { defaultDaemon });
        Session session { client, *options, invocation.arguments, std::cout, std::cerr, readFile, makeId, monotonicNow,
            [](Common::Duration duration) { std::this_thread::sleep_for(duration); } };
        return runCommand(invocation.command->name, session);
    }

} // namespace

ExitCode runProgram(const std::vector<std::string>& words)
{
    const ParsedCommandLine parsed = parseCommandLine(words);
    if (const auto* const help = std::get_if<HelpRequested>(&parsed)) {
        std::cout << help->text;
        return ExitCode::Success;
    }
    if (const auto* const error = std::get_if<UsageError>(&parsed))
        return usageError(error->text);
    return runInvocation(std::get<Invocation>(parsed));
}

} // namespace Cli
