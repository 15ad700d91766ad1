// JSON form of job records.
#include "Jobs/JobRecord.h"

#include <nlohmann/json.hpp>

namespace Jobs {

namespace {

    using Json = nlohmann::json;

    template <typename Value> void putUnlessDefault(Json& object, const char* name, const Value& value)
    {
        if (value != Value {})
            object[name] = value;
    }

    Json stepToJson(const StepSpec& step)
    {
        Json object { { "tasks", step.taskCount } };
        putUnlessDefault(object, "milliCores", step.resources.milliCores);
        putUnlessDefault(object, "memory", step.resources.memoryMegabytes);
        putUnlessDefault(object, "accelerators", step.resources.accelerators);
        putUnlessDefault(object, "estimate", step.estimate.count());
        putUnlessDefault(object, "after", step.after);
        putUnlessDefault(object, "checkpoints", step.supportsCheckpoints);
        putUnlessDefault(object, "gang", step.gang);
        putUnlessDefault(object, "sameRack", step.sameRack);
        putUnlessDefault(object, "copies", step.mayRunCopies);
        putUnlessDefault(object, "longRunning", step.longRunning);
        putUnlessDefault(object, "backfill", step.backfill);
        putUnlessDefault(object, "label", step.requiredLabel);
        putUnlessDefault(object, "rack", step.preferredRack.value());
        putUnlessDefault(object, "perWorker", step.maximumPerWorker);
        putUnlessDefault(object, "image", step.image);
        putUnlessDefault(object, "latency", step.latencyTarget.count());
        putUnlessDefault(object, "unavailable", step.maximumUnavailable);
        return object;
    }

    StepSpec stepFromJson(const Json& object)
    {
        StepSpec step;
        step.taskCount = object.at("tasks").get<uint32_t>();
        step.resources.milliCores = object.value("milliCores", int64_t { 0 });
        step.resources.memoryMegabytes = object.value("memory", int64_t { 0 });
        step.resources.accelerators = object.value("accelerators", int64_t { 0 });
        step.estimate = Common::Duration(object.value("estimate", Common::Duration::rep { 0 }));
        step.after = object.value("after", std::vector<uint32_t> {});
        step.supportsCheckpoints = object.value("checkpoints", false);
        step.gang = object.value("gang", false);
        step.sameRack = object.value("sameRack", false);
        step.mayRunCopies = object.value("copies", false);
        step.longRunning = object.value("longRunning", false);
        step.backfill = object.value("backfill", false);
        step.requiredLabel = object.value("label", std::string {});
        step.preferredRack = Common::RackId(object.value("rack", std::string {}));
        step.maximumPerWorker = object.value("perWorker", 0U);
        step.image = object.value("image", std::string {});
        step.latencyTarget = Common::Duration(object.value("latency", Common::Duration::rep { 0 }));
        step.maximumUnavailable = object.value("unavailable", 0U);
        return step;
    }

    Json policyToJson(const JobPolicy& policy)
    {
        return Json { { "route", policy.route }, { "service", policy.service.value() }, { "priority", policy.priority },
            { "attempts", policy.maximumAttempts }, { "stretch", policy.stretch },
            { "target", policy.targetDuration.count() } };
    }

    JobPolicy policyFromJson(const Json& object)
    {
        JobPolicy policy;
        policy.route = object.at("route").get<std::string>();
        policy.service = Common::ServiceName(object.at("service").get<std::string>());
        policy.priority = object.value("priority", 0U);
        policy.maximumAttempts = object.value("attempts", 0U);
        policy.stretch = object.value("stretch", 1.0);
        policy.targetDuration = Common::Duration(object.value("target", Common::Duration::rep { 0 }));
        return policy;
    }

    Json crashesToJson(const std::map<uint32_t, TaskCrash>& crashes)
    {
        Json rows = Json::array();
        for (const auto& [attempt, crash] : crashes)
            rows.push_back(
                Json::array({ attempt, crash.worker.value(), crash.started, crash.fresh, crash.alone, crash.excused }));
        return rows;
    }

    std::map<uint32_t, TaskCrash> crashesFromJson(const Json& rows)
    {
        std::map<uint32_t, TaskCrash> crashes;
        for (const Json& row : rows) {
            TaskCrash& crash = crashes[row.at(0).get<uint32_t>()];
            crash.worker = Common::WorkerId(row.at(1).get<std::string>());
            crash.started = row.at(2).get<bool>();
            crash.fresh = row.at(3).get<bool>();
            crash.alone = row.at(4).get<bool>();
            crash.excused = row.at(5).get<bool>();
        }
        return crashes;
    }

    /// One step: a string with a flag per task (1: done, 0: not), then a row for each unfinished task that has
    /// progress, and for each task that is done and belongs to another cell.
    Json stepProgressToJson(const std::vector<TaskProgress>& tasks)
    {
        std::string flags;
        Json rows = Json::array();
        for (size_t index = 0; index < tasks.size(); ++index) {
            const TaskProgress& task = tasks[index];
            flags.push_back(task.done ? '1' : '0');
            if (task.done ? task.transferredTo.empty() : task.isUntouched())
                continue;
            Json row
                = Json::array({ index, task.failedAttempts, task.lastAttempt, task.checkpoint, task.transferredTo });
            if (!task.crashes.empty())
                row.push_back(crashesToJson(task.crashes));
            rows.push_back(std::move(row));
        }
        return Json::array({ std::move(flags), std::move(rows) });
    }

    std::vector<TaskProgress> stepProgressFromJson(const Json& pair)
    {
        const auto& flags = pair.at(0).get_ref<const std::string&>();
        std::vector<TaskProgress> tasks(flags.size());
        for (size_t index = 0; index < flags.size(); ++index)
            tasks[index].done = flags[index] == '1';
        for (const Json& row : pair.at(1)) {
            TaskProgress& task = tasks.at(row.at(0).get<size_t>());
            task.failedAttempts = row.at(1).get<std::set<uint32_t>>();
            task.lastAttempt = row.at(2).get<uint32_t>();
            task.checkpoint = row.at(3).get<std::string>();
            task.transferredTo = row.at(4).get<std::string>();
            if (row.size() > 5)
                task.crashes = crashesFromJson(row.at(5));
        }
        return tasks;
    }

    Json progressToJson(const std::map<uint32_t, JobRecord::OccurrenceProgress>& progress)
    {
        Json rows = Json::array();
        for (const auto& [occurrence, steps] : progress) {
            Json stepRows = Json::array();
            for (const auto& tasks : steps)
                stepRows.push_back(stepProgressToJson(tasks));
            rows.push_back(Json::array({ occurrence, std::move(stepRows) }));
        }
        return rows;
    }

    JobRecord readSubmission(const Json& object)
    {
        JobRecord record;
        record.id = Common::JobId(object.at("id").get<std::string>());
        record.policy = policyFromJson(object.at("terms"));
        record.spec.payload = object.value("payload", std::string {});
        for (const Json& step : object.value("steps", Json::array()))
            record.spec.steps.push_back(stepFromJson(step));
        record.spec.occurrences = object.value("occurrences", 0U);
        record.spec.firstDueMilliseconds = object.value("firstDue", int64_t { 0 });
        record.spec.interval = Common::Duration(object.value("interval", Common::Duration::rep { 0 }));
        record.acceptedMilliseconds = object.value("accepted", int64_t { 0 });
        return record;
    }

    /// Hosts of an earlier version write and read only the highest number received from each cell, and ignore lower
    /// ones that arrive later.
    std::map<std::string, std::set<uint32_t>> transfersReceivedFromJson(const Json& object)
    {
        auto received = object.value("giftsTaken", std::map<std::string, std::set<uint32_t>> {});
        for (const auto& [cell, highest] : object.value("giftsReceived", std::map<std::string, uint32_t> {})) {
            if (received.contains(cell))
                continue;
            for (uint32_t number = 1; number <= highest; ++number)
                received[cell].insert(number);
        }
        return received;
    }

    void putTransfersReceived(Json& object, const std::map<std::string, std::set<uint32_t>>& received)
    {
        std::map<std::string, uint32_t> highest;
        for (const auto& [cell, numbers] : received) {
            if (!numbers.empty())
                highest.emplace(cell, *numbers.rbegin());
        }
        putUnlessDefault(object, "giftsReceived", highest);
        putUnlessDefault(object, "giftsTaken", received);
    }

    void readProgress(const Json& object, JobRecord& record)
    {
        record.finishedMilliseconds = object.value("finished", int64_t { 0 });
        const auto phase = phaseFromName(object.at("phase").get<std::string>());
        record.phase = phase.value_or(JobPhase::Queued);
        record.failureReason = object.value("failure", std::string {});
        record.partCells = object.value("parts", std::set<std::string> {});
        record.isPart = object.value("isPart", false);
        record.transfersSent = object.value("giftsMade", 0U);
        record.homeCell = object.value("home", std::string {});
        record.transfersReceived = transfersReceivedFromJson(object);
        record.finishedOccurrences = object.value("finishedOccurrences", std::set<uint32_t> {});
        for (const Json& row : object.value("progress", Json::array())) {
            JobRecord::OccurrenceProgress steps;
            for (const Json& pair : row.at(1))
                steps.push_back(stepProgressFromJson(pair));
            record.progress.emplace(row.at(0).get<uint32_t>(), std::move(steps));
        }
    }

    Common::Failure malformed(const Json::exception& error)
    {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("job record: ") + error.what(), {} };
    }

} // namespace

nlohmann::json submissionToJson(const JobRecord& record)
{
    Json object { { "id", record.id.value() }, { "terms", policyToJson(record.policy) },
        { "accepted", record.acceptedMilliseconds } };
    putUnlessDefault(object, "payload", record.spec.payload);
    for (const StepSpec& step : record.spec.steps)
        object["steps"].push_back(stepToJson(step));
    putUnlessDefault(object, "occurrences", record.spec.occurrences);
    putUnlessDefault(object, "firstDue", record.spec.firstDueMilliseconds);
    putUnlessDefault(object, "interval", record.spec.interval.count());
    return object;
}

Common::Result<JobRecord> submissionFromJson(const nlohmann::json& object)
{
    try {
        return readSubmission(object);
    } catch (const Json::exception& error) {
        return malformed(error);
    }
}

std::string JobRecord::encode() const
{
    JobRecord kept = *this;
    if (isFinal(phase))
        kept.spec.payload.clear();
    if (phase == JobPhase::Completed)
        kept.spec.steps.clear();
    Json object = submissionToJson(kept);
    object["phase"] = phaseName(phase);
    putUnlessDefault(object, "finished", finishedMilliseconds);
    putUnlessDefault(object, "failure", failureReason);
    putUnlessDefault(object, "parts", partCells);
    putUnlessDefault(object, "isPart", isPart);
    putUnlessDefault(object, "giftsMade", transfersSent);
    putUnlessDefault(object, "home", homeCell);
    putTransfersReceived(object, transfersReceived);
    if (!isFinal(phase)) {
        putUnlessDefault(object, "finishedOccurrences", finishedOccurrences);
        if (!progress.empty())
            object["progress"] = progressToJson(progress);
    }
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Common::Result<JobRecord> JobRecord::decode(std::string_view text)
{
    try {
        const Json object = Json::parse(text);
        JobRecord record = readSubmission(object);
        readProgress(object, record);
        return record;
    } catch (const Json::exception& error) {
        return malformed(error);
    }
}

} // namespace Jobs
