// JSON encodings of submissions and statuses for callers and peers.
#include "Ledger/JobStatus.h"
#include "Ledger/JobSubmission.h"

#include <nlohmann/json.hpp>

namespace Ledger {

namespace {

    using nlohmann::json;

    json resourcesToJson(const Common::Resources& amount)
    {
        return json { { "slots", amount.slots }, { "milliCores", amount.milliCores },
            { "memoryMb", amount.memoryMegabytes }, { "accelerators", amount.accelerators } };
    }

    Common::Resources resourcesFromJson(const json& body)
    {
        return Common::Resources { .slots = body.value("slots", int64_t { 1 }),
            .milliCores = body.value("milliCores", int64_t { 0 }),
            .memoryMegabytes = body.value("memoryMb", int64_t { 0 }),
            .accelerators = body.value("accelerators", int64_t { 0 }) };
    }

    json attemptToJson(const JobAttempt& attempt)
    {
        return json { { "number", attempt.number.value }, { "worker", attempt.worker.value() },
            { "boot", attempt.boot.value() }, { "startBy", attempt.startBy.milliseconds },
            { "workerOwner", attempt.workerOwner.value() }, { "end", attemptEndName(attempt.end) } };
    }

    JobAttempt attemptFromJson(const json& body)
    {
        return JobAttempt { .number = Common::AttemptNumber { body.at("number").get<uint32_t>() },
            .worker = Common::WorkerId(body.at("worker").get<std::string>()),
            .boot = Common::WorkerBootId(body.at("boot").get<std::string>()),
            .startBy = Common::WorkerTime { body.at("startBy").get<int64_t>() },
            .workerOwner = Common::DaemonId(body.at("workerOwner").get<std::string>()),
            .end = attemptEndFromName(body.at("end").get<std::string>()).value_or(AttemptEnd::Lost) };
    }

    Common::Failure malformed(const json::exception& error)
    {
        return Common::Failure { Common::ErrorCode::MalformedRequest, error.what() };
    }

} // namespace

json toJson(const JobSubmission& submission)
{
    return json { { "id", submission.key }, { "team", submission.team.value() },
        { "profile", submission.profile.value() }, { "resources", resourcesToJson(submission.resources) },
        { "command", submission.command } };
}

Common::Result<JobSubmission> submissionFromJson(const json& body)
{
    try {
        const json command = body.value("command", json(""));
        return JobSubmission { .key = body.value("id", std::string()),
            .team = Common::TeamName(body.at("team").get<std::string>()),
            .profile = Common::ProfileName(body.at("profile").get<std::string>()),
            .resources = resourcesFromJson(body.value("resources", json::object())),
            .command = command.is_string() ? command.get<std::string>() : command.dump() };
    } catch (const json::exception& error) {
        return malformed(error);
    }
}

json toJson(const JobStatus& status)
{
    json attempts = json::array();
    for (const JobAttempt& attempt : status.attempts)
        attempts.push_back(attemptToJson(attempt));
    return json { { "job", status.job.value() }, { "team", status.team.value() }, { "profile", status.profile.value() },
        { "state", jobStateName(status.state) }, { "detail", status.detail }, { "checkpoint", status.checkpoint },
        { "submittedAtMs", status.submittedAtMilliseconds }, { "endedAtMs", status.endedAtMilliseconds },
        { "attempts", std::move(attempts) } };
}

Common::Result<JobStatus> statusFromJson(const json& body)
{
    try {
        JobStatus status { .job = Common::JobId(body.at("job").get<std::string>()),
            .team = Common::TeamName(body.at("team").get<std::string>()),
            .profile = Common::ProfileName(body.at("profile").get<std::string>()),
            .state = jobStateFromName(body.at("state").get<std::string>()).value_or(JobState::Unknown),
            .detail = body.at("detail").get<std::string>(),
            .checkpoint = body.at("checkpoint").get<std::string>(),
            .submittedAtMilliseconds = body.at("submittedAtMs").get<int64_t>(),
            .endedAtMilliseconds = body.at("endedAtMs").get<int64_t>() };
        for (const json& attempt : body.at("attempts"))
            status.attempts.push_back(attemptFromJson(attempt));
        return status;
    } catch (const json::exception& error) {
        return malformed(error);
    }
}

} // namespace Ledger
