// Rows are lists, so that names aren't repeated in each of them.
#include "Cells/RunReportCodec.h"

#include "Common/Bounds.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    constexpr const char* workerMember = "worker";
    constexpr const char* addressMember = "address";
    constexpr const char* tokenMember = "token";
    constexpr const char* leaseMember = "leaseUntil";
    constexpr const char* clockMember = "clock";
    constexpr const char* startedMember = "startedAt";
    constexpr const char* capacityMember = "capacity";
    constexpr const char* runningMember = "running";
    constexpr const char* endedMember = "ended";
    constexpr const char* unreadableMember = "unreadable";
    constexpr uint32_t wholePercent = 100;

    Json taskToJson(const Jobs::TaskName& task)
    {
        return Json::array({ task.job.value(), task.occurrence, task.step, task.index });
    }

    Jobs::TaskName taskFromJson(const JsonField& row)
    {
        return { Common::JobId(row.element(0).name()), row.element(1).count(), row.element(2).count(),
            row.element(3).count() };
    }

    Json runningToJson(const RunningTask& run)
    {
        return Json::array({ taskToJson(run.task), run.attempt.value, run.checkpoint, run.percent, run.load });
    }

    RunningTask runningFromJson(const JsonField& row)
    {
        RunningTask run;
        run.task = taskFromJson(row.element(0));
        run.attempt = Common::AttemptNumber { row.element(1).count() };
        run.checkpoint = row.element(2).text();
        run.percent = row.element(3).count(wholePercent);
        run.load = row.element(4).number(-1, Common::maximumMilliCores);
        return run;
    }

    Json endedToJson(const EndedTask& end)
    {
        return Json::array(
            { end.number, taskToJson(end.task), end.attempt.value, static_cast<uint32_t>(end.end), end.checkpoint });
    }

    EndedTask endedFromJson(const JsonField& row)
    {
        EndedTask end;
        end.number = static_cast<uint64_t>(row.element(0).integer(0, Common::maximumJsonInteger));
        end.task = taskFromJson(row.element(1));
        end.attempt = Common::AttemptNumber { row.element(2).count() };
        end.end = static_cast<RunEnd>(row.element(3).count(static_cast<uint32_t>(RunEnd::GangTimedOut)));
        end.checkpoint = row.element(4).text();
        return end;
    }

    Common::Resources capacityFromJson(const JsonField& row)
    {
        Common::Resources capacity;
        capacity.milliCores = row.element(0).integer(0, Common::maximumMilliCores);
        capacity.memoryMegabytes = row.element(1).integer(0, Common::maximumMegabytes);
        capacity.accelerators = row.element(2).integer(0, Common::maximumAccelerators);
        return capacity;
    }

    Common::WorkerTime clockFromJson(const JsonField& field)
    {
        return { field.integer(0, Common::maximumClockMilliseconds) };
    }

} // namespace

Json pollForHostToJson(const PollForHost& poll)
{
    Json params { { workerMember, poll.worker.id.value() }, { addressMember, poll.worker.address },
        { tokenMember, poll.token.value } };
    if (poll.leaseUntil)
        params[leaseMember] = poll.leaseUntil->milliseconds;
    return params;
}

Common::Result<PollForHost> pollForHostFromJson(const Json& params)
{
    try {
        const JsonField object(params, "the poll");
        PollForHost poll;
        poll.worker = { Common::WorkerId(object[workerMember].name()), object[addressMember].address() };
        poll.token = { static_cast<uint64_t>(object[tokenMember].integer(0, Common::maximumJsonInteger)) };
        // A lease that outlasts the worker's clock is refused or shortened by the worker.
        if (object[leaseMember].exists())
            poll.leaseUntil = Common::WorkerTime { object[leaseMember].integer(0, Common::maximumJsonInteger) };
        return poll;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::MalformedRequest, fault.what(), std::nullopt };
    }
}

Json runReportToJson(const RunReport& report)
{
    Json running = Json::array();
    for (const RunningTask& run : report.running)
        running.push_back(runningToJson(run));
    Json ended = Json::array();
    for (const EndedTask& end : report.ended)
        ended.push_back(endedToJson(end));
    Json body { { clockMember, report.clock.milliseconds }, { startedMember, report.startedAtMilliseconds },
        { runningMember, std::move(running) }, { endedMember, std::move(ended) },
        { unreadableMember, report.unreadable } };
    if (report.capacity) {
        body[capacityMember] = Json::array(
            { report.capacity->milliCores, report.capacity->memoryMegabytes, report.capacity->accelerators });
    }
    return body;
}

Common::Result<RunReport> runReportFromJson(const Json& body)
{
    try {
        const JsonField object(body, "the report");
        RunReport report;
        report.clock = clockFromJson(object[clockMember]);
        report.startedAtMilliseconds = object[startedMember].integer(0, Common::maximumClockMilliseconds);
        report.unreadable = object[unreadableMember].count();
        if (object[capacityMember].exists())
            report.capacity = capacityFromJson(object[capacityMember]);
        for (const Json& row : object[runningMember].list())
            report.running.push_back(runningFromJson(JsonField(row, "a run")));
        for (const Json& row : object[endedMember].list())
            report.ended.push_back(endedFromJson(JsonField(row, "an end")));
        return report;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, fault.what(), std::nullopt };
    }
}

} // namespace Cells
