// Parsing of the command line: commands, flags, help and usage errors.
#include "Cli/CommandLine.h"

#include "Cli/CommandSpec.h"
#include "Cli/Flags.h"

#include <doctest/doctest.h>
#include <gflags/gflags.h>

using namespace Cli;

namespace {

std::string errorOf(const std::vector<std::string>& words)
{
    const ParsedCommandLine parsed = parseCommandLine(words);
    const auto* const error = std::get_if<UsageError>(&parsed);
    return error ? error->text : "";
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("a command takes its arguments and flags in any order")
{
    const ParsedCommandLine parsed
        = parseCommandLine({ "--json", "config", "apply", "--base", "7", "cluster.json", "--change-id=c-1" });
    const auto& invocation = std::get<Invocation>(parsed);
    CHECK(invocation.command->name == "config apply");
    CHECK(invocation.arguments == std::vector<std::string> { "cluster.json" });
    REQUIRE(invocation.flags.size() == 3);
    CHECK(invocation.flags[1] == std::pair<std::string, std::string>("base", "7"));
    CHECK(invocation.flags[2] == std::pair<std::string, std::string>("change-id", "c-1"));
}

TEST_CASE("words after two dashes are arguments")
{
    const ParsedCommandLine parsed = parseCommandLine({ "job", "cancel", "a", "--", "--b" });
    CHECK(std::get<Invocation>(parsed).arguments == std::vector<std::string> { "a", "--b" });
}

TEST_CASE("a usage error suggests the nearest known name")
{
    CHECK(contains(errorOf({ "confg", "apply" }), "\"config apply\""));
    CHECK(contains(errorOf({ "job" }), "unknown command"));
    CHECK(contains(errorOf({ "workers", "--jsn" }), "\"json\""));
    CHECK(contains(errorOf({ "workers", "-j" }), "unknown flag -j"));
    CHECK(contains(errorOf({ "workers", "--base", "7" }), "takes no flag --base"));
    CHECK(contains(errorOf({ "request" }), "needs SERVICE"));
    CHECK(contains(errorOf({ "config", "check", "a", "b" }), "does not take \"b\""));
    CHECK(contains(errorOf({ "request", "s", "--body" }), "needs a value"));
    CHECK(contains(errorOf({ "--json" }), "which command"));
    // gflags' own flags are not the tool's.
    CHECK(contains(errorOf({ "workers", "--flagfile=x" }), "unknown flag"));
}

TEST_CASE("every command's help lists all its flags")
{
    CHECK(std::holds_alternative<HelpRequested>(parseCommandLine({})));
    CHECK(contains(std::get<HelpRequested>(parseCommandLine({ "--help" })).text, "config apply"));
    for (const CommandSpec& spec : commandSpecs()) {
        CAPTURE(spec.name);
        std::vector<std::string> words { "--help" };
        const size_t space = spec.name.find(' ');
        words.push_back(spec.name.substr(0, space));
        if (space != std::string::npos)
            words.push_back(spec.name.substr(space + 1));
        const ParsedCommandLine parsed = parseCommandLine(words);
        const std::string& help = std::get<HelpRequested>(parsed).text;
        CHECK(contains(help, spec.summary));
        for (const std::string& flag : flagsOf(spec)) {
            CAPTURE(flag);
            REQUIRE(findFlag(flag));
            CHECK(contains(help, findFlag(flag)->description));
        }
    }
}

TEST_CASE("flags are converted to options and every invalid text is a fault")
{
    const gflags::FlagSaver saver;
    const auto options = readOptions({ { "daemon", "a:1,b:1" }, { "json", "true" }, { "timeout", "800ms" },
        { "deadline-ms", "250" }, { "idempotent", "false" }, { "hosts", "c:1" } });
    REQUIRE(options);
    CHECK(options->daemons == std::vector<std::string> { "a:1", "b:1" });
    CHECK(options->json);
    CHECK(options->timeout == Common::Duration(std::chrono::milliseconds(800)));
    CHECK(options->deadlineMilliseconds == 250);
    CHECK(options->hosts == std::vector<std::string> { "c:1" });
    const auto wrong = readOptions({ { "deadline-ms", "soon" }, { "slots", "-1" }, { "timeout", "5" }, { "json", "5" },
        { "idempotent", "maybe" } });
    REQUIRE_FALSE(wrong);
    CHECK(wrong.faults().size() == 5);
}
