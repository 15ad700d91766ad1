// Definitions of the flags, and their conversion into Options.
#include "Cli/Flags.h"

#include "Config/DurationText.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>

DEFINE_string(daemon, "", "Daemons to ask, \"IP:port\" separated by commas, tried in turn (or LAVENDERCART_DAEMON)");
DEFINE_bool(json, false, "Print JSON instead of tables");
DEFINE_string(timeout, "", "How long to wait: \"800ms\", \"12s\"");
DEFINE_string(
    base, "", "Revision that the document was edited from; 0: there was none; \"current\": whatever is in force");
DEFINE_string(change_id, "", "Id of the change; repeat a change whose outcome is unknown with the same id");
DEFINE_string(author, "", "Who changes the configuration (or USER)");
DEFINE_string(diff, "", "Show the changes from the revision in force to this file");
DEFINE_int64(limit, 0, "Most entries to print");
DEFINE_string(
    id, "", "Id of the request, or key of the job: repeat with it after an unknown outcome; generated if missing");
DEFINE_string(body, "", "The request's body");
DEFINE_string(file, "", "File with the request's body, \"-\" for standard input");
DEFINE_string(content_type, "", "Content type of the request's body");
DEFINE_int64(deadline_ms, 0, "Deadline of the request in milliseconds; the profile's if missing");
DEFINE_string(idempotent, "", "\"true\" or \"false\"; the profile's if missing");
DEFINE_string(team, "", "Team of the job");
DEFINE_string(profile, "", "Profile of the job");
DEFINE_string(state, "", "List only jobs in this state");
DEFINE_string(command, "", "What the worker is to run, as JSON");
DEFINE_int64(slots, 0, "Declared slots of the job");
DEFINE_int64(milli_cores, 0, "Declared thousandths of a core of the job");
DEFINE_int64(memory_mb, 0, "Declared memory of the job in megabytes");
DEFINE_int64(accelerators, 0, "Declared accelerators of the job");
DEFINE_bool(wait, false, "Wait until the job has ended");
DEFINE_string(hosts, "", "Daemons whose timelines are merged, separated by commas; all live ones if missing");
DEFINE_string(request, "", "Only events of this request");
DEFINE_string(job, "", "Only events of this job");
DEFINE_string(worker, "", "Only events of this worker");
DEFINE_int64(revision, 0, "This revision of the configuration; for the timeline: only its events");

namespace Cli {

namespace {

    using Config::SettingFault;

    const char* const daemonVariable = "LAVENDERCART_DAEMON";

    std::string gflagsName(std::string name)
    {
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> parts;
        size_t start = 0;
        while (start <= text.size()) {
            const size_t end = std::min(text.find(',', start), text.size());
            if (end > start)
                parts.push_back(text.substr(start, end - start));
            start = end + 1;
        }
        return parts;
    }

    std::string environment(const char* name)
    {
        const char* const value = std::getenv(name); // NOLINT: the tool has one thread
        return value ? value : "";
    }

    SettingFault fault(const std::string& flag, const std::string& text, const std::string& allowed)
    {
        return SettingFault {
            .kind = SettingFault::Kind::WrongType, .path = "--" + flag, .found = "\"" + text + "\"", .allowed = allowed
        };
    }

    void setFlags(const std::vector<std::pair<std::string, std::string>>& flags, std::vector<SettingFault>& faults)
    {
        for (const auto& [name, text] : flags) {
            const std::string gflag = gflagsName(name);
            const std::string set = gflags::SetCommandLineOption(gflag.c_str(), text.c_str());
            if (!set.empty())
                continue;
            const std::string type = gflags::GetCommandLineFlagInfoOrDie(gflag.c_str()).type;
            faults.push_back(fault(name, text, type == "int64" ? "a whole number" : "a " + type));
        }
    }

    void checkNotNegative(const std::string& flag, int64_t value, std::vector<SettingFault>& faults)
    {
        if (value < 0)
            faults.push_back(fault(flag, std::to_string(value), "a whole number from 0"));
    }

    void checkNumbers(const Options& options, std::vector<SettingFault>& faults)
    {
        checkNotNegative("limit", options.limit, faults);
        checkNotNegative("deadline-ms", options.deadlineMilliseconds, faults);
        checkNotNegative("slots", options.slots, faults);
        checkNotNegative("milli-cores", options.milliCores, faults);
        checkNotNegative("memory-mb", options.memoryMegabytes, faults);
        checkNotNegative("accelerators", options.accelerators, faults);
        checkNotNegative("revision", options.revision, faults);
    }

    void readTimeout(Options& options, std::vector<SettingFault>& faults)
    {
        if (FLAGS_timeout.empty())
            return;
        options.timeout = Config::parseDuration(FLAGS_timeout);
        if (!options.timeout)
            faults.push_back(fault("timeout", FLAGS_timeout, "a duration such as \"800ms\" or \"12s\""));
    }

    Options collect()
    {
        Options options;
        options.daemons = splitList(FLAGS_daemon.empty() ? environment(daemonVariable) : FLAGS_daemon);
        options.json = FLAGS_json;
        options.base = FLAGS_base;
        options.changeId = FLAGS_change_id;
        options.author = FLAGS_author.empty() ? environment("USER") : FLAGS_author;
        options.diff = FLAGS_diff;
        options.limit = FLAGS_limit;
        options.id = FLAGS_id;
        options.body = FLAGS_body;
        options.file = FLAGS_file;
        options.contentType = FLAGS_content_type;
        options.deadlineMilliseconds = FLAGS_deadline_ms;
        options.idempotent = FLAGS_idempotent;
        options.team = FLAGS_team;
        options.profile = FLAGS_profile;
        options.state = FLAGS_state;
        options.command = FLAGS_command;
        options.slots = FLAGS_slots;
        options.milliCores = FLAGS_milli_cores;
        options.memoryMegabytes = FLAGS_memory_mb;
        options.accelerators = FLAGS_accelerators;
        options.wait = FLAGS_wait;
        options.hosts = splitList(FLAGS_hosts);
        options.request = FLAGS_request;
        options.job = FLAGS_job;
        options.worker = FLAGS_worker;
        options.revision = FLAGS_revision;
        return options;
    }

} // namespace

std::optional<FlagInfo> findFlag(const std::string& name)
{
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(gflagsName(name).c_str(), &info);
    if (!known)
        return std::nullopt;
    return FlagInfo { name, info.type == "bool", info.description };
}

Config::Checked<Options> readOptions(const std::vector<std::pair<std::string, std::string>>& flags)
{
    std::vector<SettingFault> faults;
    setFlags(flags, faults);
    Options options = collect();
    readTimeout(options, faults);
    checkNumbers(options, faults);
    const bool isIdempotentValid
        = options.idempotent.empty() || options.idempotent == "true" || options.idempotent == "false";
    if (!isIdempotentValid)
        faults.push_back(fault("idempotent", options.idempotent, "\"true\" or \"false\""));
    if (!faults.empty())
        return faults;
    return options;
}

} // namespace Cli
