// Encodes records as arrays instead of objects, which keeps deltas short: in most of them only the job's id is long.
#include "Ledger/Codec.h"

namespace Ledger {

nlohmann::json packResources(const Common::Resources& amount)
{
    return nlohmann::json::array({ amount.slots, amount.milliCores, amount.memoryMegabytes, amount.accelerators });
}

Common::Resources unpackResources(const nlohmann::json& packed)
{
    return Common::Resources { .slots = packed.at(0).get<int64_t>(),
        .milliCores = packed.at(1).get<int64_t>(),
        .memoryMegabytes = packed.at(2).get<int64_t>(),
        .accelerators = packed.at(3).get<int64_t>() };
}

nlohmann::json packSubmission(const JobSubmission& submission)
{
    return nlohmann::json::array({ submission.key, submission.team.value(), submission.profile.value(),
        packResources(submission.resources), submission.command });
}

JobSubmission unpackSubmission(const nlohmann::json& packed)
{
    return JobSubmission { .key = packed.at(0).get<std::string>(),
        .team = Common::TeamName(packed.at(1).get<std::string>()),
        .profile = Common::ProfileName(packed.at(2).get<std::string>()),
        .resources = unpackResources(packed.at(3)),
        .command = packed.at(4).get<std::string>() };
}

nlohmann::json packAttempt(const JobAttempt& attempt)
{
    return nlohmann::json::array({ attempt.number.value, attempt.worker.value(), attempt.boot.value(),
        attempt.startBy.milliseconds, attempt.workerOwner.value(), static_cast<int>(attempt.end) });
}

JobAttempt unpackAttempt(const nlohmann::json& packed)
{
    return JobAttempt { .number = Common::AttemptNumber { packed.at(0).get<uint32_t>() },
        .worker = Common::WorkerId(packed.at(1).get<std::string>()),
        .boot = Common::WorkerBootId(packed.at(2).get<std::string>()),
        .startBy = Common::WorkerTime { packed.at(3).get<int64_t>() },
        .workerOwner = Common::DaemonId(packed.at(4).get<std::string>()),
        .end = static_cast<AttemptEnd>(packed.at(5).get<int>()) };
}

} // namespace Ledger
