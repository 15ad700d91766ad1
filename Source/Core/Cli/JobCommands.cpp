// `lavendercart job ...`
#include "Cli/Commands.h"
#include "Cli/HttpCall.h"
#include "Cli/Report.h"
#include "Cli/Session.h"
#include "Cli/Table.h"
#include "Cli/TimelineMerge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace Cli {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr Common::Duration submitTimeout = std::chrono::seconds(10);
    constexpr Common::Duration defaultWaitTimeout = std::chrono::minutes(10);
    constexpr Common::Duration statusInterval = std::chrono::milliseconds(500);
    constexpr int64_t defaultListLimit = 100;

    const char* const jsonType = "application/json";

    /// The job in FILE, or an empty one.
    Result<json> readJobFile(Session& session)
    {
        if (session.arguments.empty())
            return json::object();
        const std::optional<std::string> text = session.readFile(session.arguments[0]);
        if (!text)
            return Failure { .code = ErrorCode::MalformedRequest, .detail = "can't read " + session.arguments[0] };
        json job = json::parse(*text, nullptr, false, true);
        if (!job.is_object())
            return Failure { .code = ErrorCode::MalformedRequest,
                .detail = session.arguments[0] + " is not a JSON object" };
        return job;
    }

    void setText(json& job, const std::string& name, const std::string& value)
    {
        if (!value.empty())
            job[name] = value;
    }

    void setResource(json& job, const std::string& name, int64_t value)
    {
        if (value > 0)
            job["resources"][name] = value;
    }

    Result<json> makeJob(Session& session)
    {
        Result<json> job = readJobFile(session);
        if (!job)
            return job;
        const Options& options = session.options;
        if (job->contains("resources") && !(*job)["resources"].is_object())
            return Failure { .code = ErrorCode::MalformedRequest, .detail = "\"resources\" is not an object" };
        setText(*job, "id", options.id);
        setText(*job, "team", options.team);
        setText(*job, "profile", options.profile);
        setResource(*job, "slots", options.slots);
        setResource(*job, "milliCores", options.milliCores);
        setResource(*job, "memoryMb", options.memoryMegabytes);
        setResource(*job, "accelerators", options.accelerators);
        if (!options.command.empty()) {
            const json command = json::parse(options.command, nullptr, false, true);
            if (command.is_discarded())
                return Failure { .code = ErrorCode::MalformedRequest, .detail = "--command is not JSON" };
            (*job)["command"] = command;
        }
        for (const char* name : { "team", "profile", "command" }) {
            if (!job->contains(name))
                return Failure { .code = ErrorCode::MalformedRequest,
                    .detail = std::string("the job needs a ") + name };
        }
        if (!job->contains("id"))
            (*job)["id"] = session.makeId("job");
        return job;
    }

    std::string submittedAt(const json& job)
    {
        const json at = job.is_object() ? job.value("submittedAtMs", json()) : json();
        return at.is_number_integer() ? renderTime(at.get<int64_t>()) : std::string();
    }

    std::vector<std::string> jobRow(const json& job)
    {
        return { textMember(job, "id"), textMember(job, "state"), textMember(job, "team"), textMember(job, "profile"),
            textMember(job, "attempt"), textMember(job, "worker"), submittedAt(job), textMember(job, "reason") };
    }

    std::string renderJobs(const json& jobs)
    {
        std::vector<std::vector<std::string>> rows;
        for (const json& job : jobs)
            rows.push_back(jobRow(job));
        return renderTable(
            { "JOB", "STATE", "TEAM", "PROFILE", "ATTEMPT", "WORKER", "SUBMITTED (UTC)", "REASON" }, rows);
    }

    void printJob(Session& session, const json& job)
    {
        if (session.options.json)
            printJson(session, job);
        else
            session.output << renderJobs(json::array({ job }));
    }

    json jobIn(const json& answer) { return answer.value("job", json::object()); }

    Result<json> fetchJob(Session& session, const std::string& id)
    {
        return jsonOf(session.client.call(HttpCall { .target = "/v1/jobs/" + percentEncoded(id) }));
    }

    bool hasEnded(const std::string& state)
    {
        return state == "finished" || state == "failed" || state == "cancelled" || state == "unknown";
    }

    ExitCode exitCodeOfState(const std::string& state)
    {
        if (state == "unknown")
            return ExitCode::Unknown;
        const bool endedBadly = state == "failed" || state == "cancelled";
        return endedBadly ? ExitCode::WorkFailed : ExitCode::Success;
    }

    /// Polls the job until it has ended or the wait has timed out. Failures in between are ignored, except UnknownJob.
    ExitCode waitForEnd(Session& session, const std::string& id)
    {
        const Common::MonotonicTime end = session.now() + session.options.timeout.value_or(defaultWaitTimeout);
        while (true) {
            const Result<json> answer = fetchJob(session, id);
            const json job = answer ? jobIn(*answer) : json::object();
            const std::string state = textMember(job, "state");
            const bool timedOut = session.now() >= end;
            if (answer && (timedOut || hasEnded(state))) {
                printJob(session, job);
                return hasEnded(state) ? exitCodeOfState(state) : ExitCode::Incomplete;
            }
            if (!answer && (timedOut || answer.reason().code == ErrorCode::UnknownJob))
                return failedRead(session, answer.reason());
            session.sleep(statusInterval);
        }
    }

    ExitCode cancelMany(Session& session)
    {
        const Result<json> answer = jsonOf(session.client.call(HttpCall { .method = "POST",
            .target = "/v1/jobs/cancel",
            .headers = { { "Content-Type", jsonType } },
            .body = json { { "ids", session.arguments } }.dump(-1, ' ', false, json::error_handler_t::replace),
            .timeout = submitTimeout }));
        if (!answer)
            return failedCall(session, answer.reason());
        bool allKnown = true;
        std::vector<std::vector<std::string>> rows;
        for (const json& result : listMember(*answer, "results")) {
            const std::string outcome = textMember(result, "outcome");
            allKnown = allKnown && (outcome == "cancelled" || outcome == "ended");
            rows.push_back({ textMember(result, "id"), outcome });
        }
        if (session.options.json)
            printJson(session, *answer);
        else
            session.output << renderTable({ "JOB", "OUTCOME" }, rows);
        return allKnown ? ExitCode::Success : ExitCode::NotRun;
    }

    std::string listTarget(const Options& options)
    {
        std::string target = "/v1/jobs?limit=" + std::to_string(options.limit > 0 ? options.limit : defaultListLimit);
        if (!options.team.empty())
            target += "&team=" + percentEncoded(options.team);
        if (!options.state.empty())
            target += "&state=" + percentEncoded(options.state);
        return target;
    }

} // namespace

ExitCode jobSubmit(Session& session)
{
    const Result<json> job = makeJob(session);
    if (!job)
        return usageFailure(session, job.reason().detail);
    const std::string id = textMember(*job, "id");
    const Result<json> answer = jsonOf(session.client.call(HttpCall { .method = "POST",
        .target = "/v1/jobs",
        .headers = { { "Content-Type", jsonType } },
        .body = job->dump(-1, ' ', false, json::error_handler_t::replace),
        .timeout = submitTimeout }));
    if (!answer) {
        const ExitCode exitCode = failedCall(session, answer.reason());
        if (exitCode == ExitCode::Unknown)
            session.errors << "repeat with --id " << id << "\n";
        return exitCode;
    }
    if (session.options.wait)
        return waitForEnd(session, textMember(jobIn(*answer), "id"));
    printJob(session, jobIn(*answer));
    return ExitCode::Success;
}

ExitCode jobStatus(Session& session)
{
    if (session.options.wait)
        return waitForEnd(session, session.arguments.at(0));
    const Result<json> answer = fetchJob(session, session.arguments.at(0));
    if (!answer)
        return failedRead(session, answer.reason());
    printJob(session, jobIn(*answer));
    return ExitCode::Success;
}

ExitCode jobList(Session& session)
{
    const Result<json> answer = jsonOf(session.client.call(HttpCall { .target = listTarget(session.options) }));
    if (!answer)
        return failedRead(session, answer.reason());
    if (session.options.json) {
        printJson(session, *answer);
        return ExitCode::Success;
    }
    session.output << renderJobs(listMember(*answer, "jobs"));
    if (boolMember(*answer, "truncated"))
        session.errors << "there are more; see --limit\n";
    return ExitCode::Success;
}

ExitCode jobCancel(Session& session) { return cancelMany(session); }

} // namespace Cli
