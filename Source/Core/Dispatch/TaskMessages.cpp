// Conversion of messages about batch tasks to and from JSON.
#include "Dispatch/TaskMessages.h"

#include <nlohmann/json.hpp>

namespace Dispatch {

using nlohmann::json;

namespace {

    json resourcesToJson(const Common::Resources& resources)
    {
        return json::array(
            { resources.slots, resources.milliCores, resources.memoryMegabytes, resources.accelerators });
    }

    Common::Resources resourcesFromJson(const json& row)
    {
        return Common::Resources { row.at(0), row.at(1), row.at(2), row.at(3) };
    }

    template <typename Id> Id idFromJson(const json& object, const char* name)
    {
        return Id(object.at(name).get<std::string>());
    }

    template <typename Value, typename Read> std::optional<Value> readOrNothing(const json& object, Read read)
    {
        try {
            return read(object);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    json taskToJson(const Scheduler::TaskReport& task)
    {
        return json { { "task", task.task.value() }, { "state", Scheduler::taskStateName(task.state) },
            { "checkpoint", task.checkpoint }, { "throttled", task.throttled } };
    }

    Scheduler::TaskReport taskFromJson(const json& row)
    {
        Scheduler::TaskReport task;
        task.task = idFromJson<Common::TaskId>(row, "task");
        // An unknown state counts as running, so that the task isn't treated as ended.
        task.state
            = Scheduler::taskStateFromName(row.at("state").get<std::string>()).value_or(Scheduler::TaskState::Running);
        task.checkpoint = row.at("checkpoint");
        task.throttled = row.at("throttled");
        return task;
    }

} // namespace

json toJson(const Scheduler::TaskSpec& spec)
{
    json avoid = json::array();
    for (const Common::WorkerId& worker : spec.avoid)
        avoid.push_back(worker.value());
    return json { { "task", spec.task.value() }, { "job", spec.job.value() }, { "team", spec.team.value() },
        { "profile", spec.profile.value() }, { "declared", resourcesToJson(spec.declared) },
        { "checkpoint", spec.checkpoint }, { "command", spec.command }, { "urgent", spec.urgent }, { "avoid", avoid } };
}

json toJson(const Scheduler::Reservation& reservation)
{
    return json { { "task", reservation.task.value() }, { "worker", reservation.worker.value() },
        { "boot", reservation.boot.value() }, { "startBy", reservation.startBy.milliseconds },
        { "owner", reservation.owner.value() } };
}

json toJson(const Scheduler::WorkerView& view)
{
    json tasks = json::array();
    for (const Scheduler::TaskReport& task : view.tasks)
        tasks.push_back(taskToJson(task));
    return json { { "worker", view.worker.value() }, { "boot", view.boot.value() },
        { "clock", view.clock.milliseconds }, { "tasks", tasks } };
}

std::optional<Scheduler::TaskSpec> specFromJson(const json& object)
{
    return readOrNothing<Scheduler::TaskSpec>(object, [](const json& from) {
        Scheduler::TaskSpec spec;
        spec.task = idFromJson<Common::TaskId>(from, "task");
        spec.job = idFromJson<Common::JobId>(from, "job");
        spec.team = idFromJson<Common::TeamName>(from, "team");
        spec.profile = idFromJson<Common::ProfileName>(from, "profile");
        spec.declared = resourcesFromJson(from.at("declared"));
        spec.checkpoint = from.at("checkpoint");
        spec.command = from.at("command");
        spec.urgent = from.at("urgent");
        for (const json& worker : from.at("avoid"))
            spec.avoid.emplace_back(worker.get<std::string>());
        return spec;
    });
}

std::optional<Scheduler::Reservation> reservationFromJson(const json& object)
{
    return readOrNothing<Scheduler::Reservation>(object, [](const json& from) {
        return Scheduler::Reservation {
            .task = idFromJson<Common::TaskId>(from, "task"),
            .worker = idFromJson<Common::WorkerId>(from, "worker"),
            .boot = idFromJson<Common::WorkerBootId>(from, "boot"),
            .startBy = Common::WorkerTime { from.at("startBy").get<int64_t>() },
            .owner = idFromJson<Common::DaemonId>(from, "owner"),
        };
    });
}

std::optional<Scheduler::WorkerView> viewFromJson(const json& object)
{
    return readOrNothing<Scheduler::WorkerView>(object, [](const json& from) {
        Scheduler::WorkerView view;
        view.worker = idFromJson<Common::WorkerId>(from, "worker");
        view.boot = idFromJson<Common::WorkerBootId>(from, "boot");
        view.clock = Common::WorkerTime { from.at("clock").get<int64_t>() };
        for (const json& task : from.at("tasks"))
            view.tasks.push_back(taskFromJson(task));
        return view;
    });
}

} // namespace Dispatch
