// Converts the JSON messages between daemons and workers, on the worker's side.
#include "StandIns/WorkerMessages.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr std::array<std::pair<std::string_view, Scheduler::TaskControl>, 4> controls { {
        { "checkpoint", Scheduler::TaskControl::Checkpoint },
        { "throttle", Scheduler::TaskControl::Throttle },
        { "unthrottle", Scheduler::TaskControl::Unthrottle },
        { "stop", Scheduler::TaskControl::Stop },
    } };

    std::vector<Common::TaskId> readTasks(const json& body, const char* name)
    {
        std::vector<Common::TaskId> tasks;
        const auto ids = body.find(name);
        if (ids == body.end())
            return tasks;
        tasks.reserve(ids->size());
        for (const json& id : *ids)
            tasks.emplace_back(id.get<std::string>());
        return tasks;
    }

    json writeClaim(const Scheduler::WorkerClaim& claim)
    {
        return { { "daemon", claim.daemon.value() }, { "address", claim.address }, { "term", claim.term.value },
            { "madeAt", claim.madeAt.milliseconds }, { "lapsesAt", claim.expiresAt.milliseconds } };
    }

    json writeTask(const Scheduler::TaskReport& task)
    {
        return { { "task", task.task.value() }, { "kind", taskKindName(task.kind) },
            { "state", Scheduler::taskStateName(task.state) }, { "declared", writeResources(task.declared) },
            { "used", writeResources(task.used) }, { "speed", task.speedPerMille },
            { "sampledAt", task.sampledAt.milliseconds }, { "lease", task.leaseExpiresAt.milliseconds },
            { "checkpoint", task.checkpoint }, { "throttled", task.throttled } };
    }

} // namespace

json writeResources(const Common::Resources& resources)
{
    return { { "slots", resources.slots }, { "milliCores", resources.milliCores },
        { "memoryMb", resources.memoryMegabytes }, { "accelerators", resources.accelerators } };
}

Common::Resources readResources(const json& body)
{
    constexpr int64_t none = 0;
    Common::Resources resources;
    resources.slots = body.value("slots", none);
    resources.milliCores = body.value("milliCores", none);
    resources.memoryMegabytes = body.value("memoryMb", none);
    resources.accelerators = body.value("accelerators", none);
    return resources;
}

Scheduler::SyncRequest readSync(const json& body)
{
    Scheduler::SyncRequest request;
    request.daemon = Common::DaemonId(body.value("daemon", std::string()));
    request.address = body.value("address", std::string());
    if (body.contains("term")) {
        request.claimTerm = Common::ClaimTerm { body.at("term").get<int64_t>() };
        request.claimTimeToLive = std::chrono::milliseconds(body.at("claimTtlMs").get<int64_t>());
    }
    request.withdrawClaim = body.value("withdraw", false);
    request.tasksToRenew = readTasks(body, "renew");
    if (!request.tasksToRenew.empty())
        request.taskLeaseTimeToLive = std::chrono::milliseconds(body.at("renewTtlMs").get<int64_t>());
    request.tasksToAcknowledge = readTasks(body, "ack");
    return request;
}

json writeReport(const Scheduler::WorkerReport& report)
{
    json claims = json::array();
    for (const Scheduler::WorkerClaim& claim : report.claims)
        claims.push_back(writeClaim(claim));
    json tasks = json::array();
    for (const Scheduler::TaskReport& task : report.tasks)
        tasks.push_back(writeTask(task));
    return { { "worker", report.worker.value() }, { "boot", report.boot.value() },
        { "clock", report.clock.milliseconds }, { "rack", report.rack.value() },
        { "capacity", writeResources(report.capacity) }, { "leaving", report.leaving }, { "claims", std::move(claims) },
        { "tasks", std::move(tasks) } };
}

Scheduler::StartCommand readStart(const json& body)
{
    Scheduler::StartCommand command;
    command.task = Common::TaskId(body.at("task").get<std::string>());
    command.boot = Common::WorkerBootId(body.at("boot").get<std::string>());
    command.startBy.milliseconds = body.at("startBy").get<int64_t>();
    command.leaseTimeToLive = std::chrono::milliseconds(body.at("leaseTtlMs").get<int64_t>());
    command.declared = readResources(body.at("declared"));
    command.checkpoint = body.at("checkpoint").get<std::string>();
    const json& work = body.at("command");
    command.command = work.is_string() ? work.get<std::string>() : work.dump();
    return command;
}

std::optional<Scheduler::TaskControl> taskControlFromName(std::string_view name)
{
    for (const auto& [known, control] : controls) {
        if (known == name)
            return control;
    }
    return std::nullopt;
}

std::string_view taskKindName(Scheduler::TaskKind kind)
{
    return kind == Scheduler::TaskKind::Request ? "request" : "batch";
}

} // namespace StandIns
