// Encodes and decodes the JSON messages of the worker protocol.
#include "Worker/WorkerCodec.h"

#include <nlohmann/json.hpp>

namespace Worker {

using Common::ErrorCode;
using Common::Failure;
using nlohmann::json;

namespace {

    json idsToJson(const std::vector<Common::TaskId>& tasks)
    {
        json names = json::array();
        for (const Common::TaskId& task : tasks)
            names.push_back(task.value());
        return names;
    }

    Common::Resources resourcesFromJson(const json& object)
    {
        return Common::Resources {
            .slots = object.value("slots", int64_t { 0 }),
            .milliCores = object.value("milliCores", int64_t { 0 }),
            .memoryMegabytes = object.value("memoryMb", int64_t { 0 }),
            .accelerators = object.value("accelerators", int64_t { 0 }),
        };
    }

    Common::WorkerTime timeFromJson(const json& object, const char* name)
    {
        return Common::WorkerTime { object.at(name).get<int64_t>() };
    }

    Scheduler::WorkerClaim claimFromJson(const json& row)
    {
        return Scheduler::WorkerClaim {
            .daemon = Common::DaemonId(row.at("daemon").get<std::string>()),
            .address = row.value("address", std::string()),
            .term = Common::ClaimTerm { row.at("term").get<int64_t>() },
            .madeAt = timeFromJson(row, "madeAt"),
            .expiresAt = timeFromJson(row, "lapsesAt"),
        };
    }

    Scheduler::TaskReport taskFromJson(const json& row)
    {
        Scheduler::TaskReport task;
        task.task = Common::TaskId(row.at("task").get<std::string>());
        task.kind = row.at("kind") == "request" ? Scheduler::TaskKind::Request : Scheduler::TaskKind::Batch;
        // A state that this release does not know counts as running, so that nothing is concluded from it.
        task.state
            = Scheduler::taskStateFromName(row.at("state").get<std::string>()).value_or(Scheduler::TaskState::Running);
        task.declared = resourcesFromJson(row.at("declared"));
        task.used = resourcesFromJson(row.value("used", json::object()));
        task.speedPerMille = row.value("speed", task.speedPerMille);
        task.sampledAt = Common::WorkerTime { row.value("sampledAt", int64_t { 0 }) };
        task.leaseExpiresAt = Common::WorkerTime { row.value("lease", int64_t { 0 }) };
        task.checkpoint = row.value("checkpoint", std::string());
        task.throttled = row.value("throttled", false);
        return task;
    }

    Scheduler::WorkerReport reportFromJson(const json& object)
    {
        Scheduler::WorkerReport report;
        report.worker = Common::WorkerId(object.at("worker").get<std::string>());
        report.boot = Common::WorkerBootId(object.at("boot").get<std::string>());
        report.clock = timeFromJson(object, "clock");
        report.rack = Common::RackId(object.value("rack", std::string()));
        report.capacity = resourcesFromJson(object.at("capacity"));
        report.leaving = object.value("leaving", false);
        for (const json& row : object.at("claims"))
            report.claims.push_back(claimFromJson(row));
        for (const json& row : object.at("tasks"))
            report.tasks.push_back(taskFromJson(row));
        return report;
    }

} // namespace

json toJson(const Common::Resources& resources)
{
    return json { { "slots", resources.slots }, { "milliCores", resources.milliCores },
        { "memoryMb", resources.memoryMegabytes }, { "accelerators", resources.accelerators } };
}

std::string encodeSync(const Scheduler::SyncRequest& request)
{
    json body { { "daemon", request.daemon.value() }, { "address", request.address },
        { "claimTtlMs", request.claimTimeToLive.count() }, { "renewTtlMs", request.taskLeaseTimeToLive.count() } };
    if (request.claimTerm)
        body["term"] = request.claimTerm->value;
    if (request.withdrawClaim)
        body["withdraw"] = true;
    if (!request.tasksToRenew.empty())
        body["renew"] = idsToJson(request.tasksToRenew);
    if (!request.tasksToAcknowledge.empty())
        body["ack"] = idsToJson(request.tasksToAcknowledge);
    return body.dump();
}

std::string encodeStart(const Scheduler::StartCommand& command)
{
    // A command that is JSON is sent as JSON, any other text as a string.
    json work = json::parse(command.command, nullptr, false);
    if (work.is_discarded())
        work = command.command;
    return json {
        { "task", command.task.value() }, { "boot", command.boot.value() }, { "startBy", command.startBy.milliseconds },
        { "leaseTtlMs", command.leaseTimeToLive.count() }, { "declared", toJson(command.declared) },
        { "checkpoint", command.checkpoint }, { "command", std::move(work) }
    }.dump();
}

std::string_view controlName(Scheduler::TaskControl action)
{
    switch (action) {
    case Scheduler::TaskControl::Checkpoint:
        return "checkpoint";
    case Scheduler::TaskControl::Throttle:
        return "throttle";
    case Scheduler::TaskControl::Unthrottle:
        return "unthrottle";
    case Scheduler::TaskControl::Stop:
        return "stop";
    }
    return "stop";
}

std::string encodeControl(Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks)
{
    return json { { "action", controlName(action) }, { "tasks", idsToJson(tasks) } }.dump();
}

Common::Result<Scheduler::WorkerReport> decodeReport(const std::string& text)
{
    try {
        return reportFromJson(json::parse(text));
    } catch (const json::exception& error) {
        return Failure { ErrorCode::ProtocolError, error.what() };
    }
}

} // namespace Worker
