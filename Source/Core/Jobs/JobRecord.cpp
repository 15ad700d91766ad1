// JSON form of job records.
#include "Jobs/JobRecord.h"

#include "Common/Bounds.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cfloat>

namespace Jobs {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    /// Bounds the transfers of a job from one cell, which hosts of an earlier version only count.
    constexpr uint32_t maximumTransfers = 1'000'000;

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

    // A record whose figures are out of bounds is read with the nearest ones: refusing it would lose an accepted job.

    int64_t amountFrom(const JsonField& field, int64_t most) { return field.otherwise(0).clampedAmount(0, most); }

    uint32_t countFrom(const JsonField& field, uint32_t most = UINT32_MAX)
    {
        return static_cast<uint32_t>(amountFrom(field, most));
    }

    Common::Duration durationFrom(const JsonField& field)
    {
        return Common::Duration(amountFrom(field, Common::maximumTimeSpan.count()));
    }

    bool flagFrom(const JsonField& field) { return field.otherwise(false).flag(); }

    std::string textFrom(const JsonField& field) { return field.otherwise("").text(); }

    std::set<uint32_t> numbersFrom(const JsonField& field)
    {
        std::set<uint32_t> numbers;
        for (const Json& number : field.listOrEmpty())
            numbers.insert(JsonField(number, "a number").count());
        return numbers;
    }

    /// Numbers of the steps before step `number`.
    std::vector<uint32_t> afterFrom(const JsonField& field, size_t number)
    {
        std::vector<uint32_t> after;
        for (const Json& other : field.listOrEmpty()) {
            after.push_back(JsonField(other, "after").count());
            if (after.back() >= number)
                throw Common::JsonFault("after refers to a step that is not earlier");
        }
        return after;
    }

    StepSpec stepFromJson(const JsonField& object, size_t number)
    {
        StepSpec step;
        step.taskCount = object["tasks"].count(Common::maximumTaskCount);
        step.resources.milliCores = amountFrom(object["milliCores"], Common::maximumMilliCores);
        step.resources.memoryMegabytes = amountFrom(object["memory"], Common::maximumMegabytes);
        step.resources.accelerators = amountFrom(object["accelerators"], Common::maximumAccelerators);
        step.estimate = durationFrom(object["estimate"]);
        step.after = afterFrom(object["after"], number);
        step.supportsCheckpoints = flagFrom(object["checkpoints"]);
        step.gang = flagFrom(object["gang"]);
        step.sameRack = flagFrom(object["sameRack"]);
        step.mayRunCopies = flagFrom(object["copies"]);
        step.longRunning = flagFrom(object["longRunning"]);
        step.backfill = flagFrom(object["backfill"]);
        step.requiredLabel = textFrom(object["label"]);
        step.preferredRack = Common::RackId(textFrom(object["rack"]));
        step.maximumPerWorker = countFrom(object["perWorker"]);
        step.image = textFrom(object["image"]);
        step.latencyTarget = durationFrom(object["latency"]);
        step.maximumUnavailable = countFrom(object["unavailable"]);
        return step;
    }

    Json policyToJson(const JobPolicy& policy)
    {
        return Json { { "route", policy.route }, { "service", policy.service.value() }, { "priority", policy.priority },
            { "attempts", policy.maximumAttempts }, { "stretch", policy.stretch },
            { "target", policy.targetDuration.count() } };
    }

    JobPolicy policyFromJson(const JsonField& object)
    {
        JobPolicy policy;
        policy.route = object["route"].text();
        policy.service = Common::ServiceName(object["service"].text());
        policy.priority = countFrom(object["priority"]);
        policy.maximumAttempts = countFrom(object["attempts"]);
        const double stretch = object["stretch"].otherwise(1).number(-DBL_MAX, DBL_MAX);
        policy.stretch = std::clamp(stretch, 0.0, Common::maximumStretch);
        policy.targetDuration = durationFrom(object["target"]);
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

    std::map<uint32_t, TaskCrash> crashesFromJson(const JsonField& rows)
    {
        std::map<uint32_t, TaskCrash> crashes;
        for (const Json& element : rows.list()) {
            const JsonField row(element, "a crash");
            TaskCrash& crash = crashes[row.element(0).count()];
            crash.worker = Common::WorkerId(row.element(1).text());
            crash.started = row.element(2).flag();
            crash.fresh = row.element(3).flag();
            crash.alone = row.element(4).flag();
            crash.excused = row.element(5).flag();
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

    std::vector<TaskProgress> stepProgressFromJson(const JsonField& pair)
    {
        const std::string flags = pair.element(0).text();
        std::vector<TaskProgress> tasks(flags.size());
        for (size_t index = 0; index < flags.size(); ++index)
            tasks[index].done = flags[index] == '1';
        for (const Json& element : pair.element(1).list()) {
            const JsonField row(element, "a task");
            const uint32_t index = row.element(0).count();
            if (index >= tasks.size())
                throw Common::JsonFault("the step has no task " + std::to_string(index));
            TaskProgress& task = tasks[index];
            task.failedAttempts = numbersFrom(row.element(1));
            task.lastAttempt = row.element(2).count();
            task.checkpoint = row.element(3).text();
            task.transferredTo = row.element(4).text();
            if (const JsonField crashes = row.element(5); crashes.exists())
                task.crashes = crashesFromJson(crashes);
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

    JobRecord readSubmission(const JsonField& object)
    {
        JobRecord record;
        record.id = Common::JobId(object["id"].text());
        record.policy = policyFromJson(object["terms"]);
        record.spec.payload = textFrom(object["payload"]);
        for (const Json& step : object["steps"].listOrEmpty())
            record.spec.steps.push_back(stepFromJson(JsonField(step, "a step"), record.spec.steps.size()));
        record.spec.occurrences = countFrom(object["occurrences"], Common::maximumTaskCount);
        record.spec.firstDueMilliseconds = amountFrom(object["firstDue"], Common::maximumClockMilliseconds);
        // The last occurrence is due at a time that fits into a Duration.
        const int64_t left = Common::maximumClockMilliseconds - record.spec.firstDueMilliseconds;
        const std::chrono::milliseconds longest(left / std::max(record.spec.occurrences, 1U));
        record.spec.interval = Common::Duration(amountFrom(object["interval"], Common::Duration(longest).count()));
        record.acceptedMilliseconds = amountFrom(object["accepted"], Common::maximumClockMilliseconds);
        return record;
    }

    /// Hosts of an earlier version write and read only the highest number received from each cell, and ignore lower
    /// ones that arrive later.
    std::map<std::string, std::set<uint32_t>> transfersReceivedFromJson(const JsonField& object)
    {
        std::map<std::string, std::set<uint32_t>> received;
        if (const JsonField taken = object["giftsTaken"]; taken.exists()) {
            for (const auto& [cell, numbers] : taken.object().items())
                received.emplace(cell, numbersFrom(JsonField(numbers, "giftsTaken")));
        }
        const JsonField earlier = object["giftsReceived"];
        if (!earlier.exists())
            return received;
        for (const auto& [cell, highest] : earlier.object().items()) {
            if (received.contains(cell))
                continue;
            const uint32_t last = JsonField(highest, "giftsReceived").count(maximumTransfers);
            for (uint32_t number = 1; number <= last; ++number)
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

    /// Earlier releases took a long-running task whose run had ended as done for completed.
    void reopenLongRunning(const JobSpec& spec, JobRecord::OccurrenceProgress& steps)
    {
        for (size_t number = 0; number < std::min(steps.size(), spec.steps.size()); ++number) {
            if (!spec.steps[number].longRunning)
                continue;
            for (TaskProgress& task : steps[number])
                task.done = false;
        }
    }

    void readProgress(const JsonField& object, JobRecord& record)
    {
        record.finishedMilliseconds = amountFrom(object["finished"], Common::maximumClockMilliseconds);
        const auto phase = phaseFromName(object["phase"].text());
        record.phase = phase.value_or(JobPhase::Queued);
        record.failureReason = textFrom(object["failure"]);
        for (const Json& cell : object["parts"].listOrEmpty())
            record.partCells.insert(JsonField(cell, "a part").text());
        record.isPart = flagFrom(object["isPart"]);
        record.transfersSent = countFrom(object["giftsMade"]);
        record.homeCell = textFrom(object["home"]);
        record.transfersReceived = transfersReceivedFromJson(object);
        record.finishedOccurrences = numbersFrom(object["finishedOccurrences"]);
        for (const Json& element : object["progress"].listOrEmpty()) {
            const JsonField row(element, "an occurrence");
            JobRecord::OccurrenceProgress steps;
            for (const Json& pair : row.element(1).list())
                steps.push_back(stepProgressFromJson(JsonField(pair, "a step")));
            reopenLongRunning(record.spec, steps);
            record.progress.emplace(row.element(0).count(), std::move(steps));
        }
    }

    Common::Failure malformed(const Common::JsonFault& fault)
    {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("job record: ") + fault.what(), {} };
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
        return readSubmission(JsonField(object, "the submission"));
    } catch (const Common::JsonFault& fault) {
        return malformed(fault);
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
        const Json parsed = Common::parseJsonOrThrow(text);
        const JsonField object(parsed, "the record");
        JobRecord record = readSubmission(object);
        readProgress(object, record);
        return record;
    } catch (const Common::JsonFault& fault) {
        return malformed(fault);
    }
}

} // namespace Jobs
