// Transfers of a job's tasks between cells.
#include "Cells/LiveJob.h"

#include <algorithm>

namespace Cells {

TaskTransfer LiveJob::transferTasks(const std::vector<Jobs::TaskName>& tasks, const CellId& from, const CellId& to)
{
    TaskTransfer transfer { from, to, ++m_record.transfersSent, toRecord() };
    transfer.part.homeCell = isPart() ? homeCell() : from.value();
    transfer.part.isPart = true;
    transfer.part.partCells.clear();
    transfer.part.transfersSent = 0;
    transfer.part.transfersReceived = { { from.value(), { transfer.number } } };
    for (auto& [index, steps] : transfer.part.progress) {
        for (auto& row : steps) {
            for (Jobs::TaskProgress& task : row)
                task.transferredTo = from.value();
        }
    }
    for (const Jobs::TaskName& name : tasks) {
        LiveTask& task = *find(name);
        transfer.part.progress.at(name.occurrence).at(name.step).at(name.index) = task.progress;
        stepOf(name)->waitingCount -= task.waiting() ? 1 : 0;
        task.progress.transferredTo = to.value();
    }
    m_record.partCells.insert(to.value());
    ++m_transfersWithoutProgress;
    ++m_changes;
    return transfer;
}

/// Calls `change` for each task of the transfer's record that belongs to an open occurrence.
template <typename Change> void LiveJob::forEachTask(const TaskTransfer& transfer, const Change& change)
{
    for (const auto& [occurrence, steps] : transfer.part.progress) {
        for (uint32_t step = 0; step < steps.size(); ++step) {
            for (uint32_t index = 0; index < steps[step].size(); ++index) {
                if (LiveTask* const task = find(Jobs::TaskName { id(), occurrence, step, index }))
                    change(*task, steps[step][index], m_occurrences.at(occurrence).steps[step]);
            }
        }
    }
}

void LiveJob::revertTransfer(const TaskTransfer& transfer)
{
    forEachTask(transfer, [&](LiveTask& task, const Jobs::TaskProgress& transferred, LiveStep& step) {
        if (!transferred.transferredTo.empty() || task.progress.transferredTo != transfer.to.value())
            return;
        task.progress.transferredTo.clear();
        step.waitingCount += task.waiting() ? 1 : 0;
    });
    ++m_changes;
}

/// Opens the occurrences of a part in which tasks were transferred here. All their tasks count as elsewhere at first.
void LiveJob::openTransferred(const TaskTransfer& transfer, Common::MonotonicTime now, int64_t wallMilliseconds)
{
    if (!isPart() || isFinal(phase()))
        return;
    for (const auto& [occurrence, steps] : transfer.part.progress) {
        const bool bringsTasks = std::any_of(steps.begin(), steps.end(), [](const auto& step) {
            return std::any_of(
                step.begin(), step.end(), [](const Jobs::TaskProgress& task) { return task.transferredTo.empty(); });
        });
        if (!bringsTasks || m_occurrences.contains(occurrence))
            continue;
        LiveOccurrence opened = open(occurrence, now, wallMilliseconds);
        for (LiveStep& step : opened.steps) {
            for (LiveTask& task : step.tasks)
                task.progress.transferredTo = transfer.from.value();
            step.waitingCount = 0;
        }
        m_occurrences.emplace(occurrence, std::move(opened));
    }
}

void LiveJob::closeReturned()
{
    // Other parts have one occurrence only.
    if (!isPart() || homeCell().empty() || !spec().isScheduled())
        return;
    std::erase_if(m_occurrences, [this](const auto& row) {
        return std::all_of(row.second.steps.begin(), row.second.steps.end(), [this](const LiveStep& step) {
            return std::all_of(step.tasks.begin(), step.tasks.end(),
                [this](const LiveTask& task) { return task.progress.transferredTo == homeCell(); });
        });
    });
}

bool LiveJob::hasReceived(const TaskTransfer& transfer) const
{
    const auto numbers = m_record.transfersReceived.find(transfer.from.value());
    return numbers != m_record.transfersReceived.end() && numbers->second.contains(transfer.number);
}

void LiveJob::receiveTransfer(const TaskTransfer& transfer, Common::MonotonicTime now, int64_t wallMilliseconds)
{
    ++m_changes;
    if (!m_record.transfersReceived[transfer.from.value()].insert(transfer.number).second)
        return;
    openTransferred(transfer, now, wallMilliseconds);
    std::map<LiveStep*, std::set<std::string>> refusals;
    forEachTask(transfer, [&](LiveTask& task, const Jobs::TaskProgress& transferred, LiveStep& step) {
        Jobs::TaskProgress& progress = task.progress;
        const bool transferredHere = transferred.transferredTo.empty();
        // Failures that the sender heard of after it had transferred the task.
        if (progress.transferredTo.empty() && !progress.done && !transferredHere)
            progress.failedAttempts.insert(transferred.failedAttempts.begin(), transferred.failedAttempts.end());
        // Returned, again, by a part.
        if (progress.done && transferredHere)
            progress.transferredTo.clear();
        // The sender may also have read an end after it had transferred the task: then the task is done here too.
        const bool broughtBack = transferredHere && !progress.transferredTo.empty();
        if (progress.done || (!transferred.done && !broughtBack))
            return;
        step.waitingCount -= task.waiting() ? 1 : 0;
        const uint32_t lastAttempt = std::max(progress.lastAttempt, transferred.lastAttempt);
        const std::string holder = transferredHere ? std::string {} : progress.transferredTo;
        if (transferred.done) {
            // Also noted of a task that stays elsewhere: transferred tasks of a later step may depend on it.
            progress = Jobs::TaskProgress { .done = true, .lastAttempt = lastAttempt, .transferredTo = holder };
            ++step.doneCount;
            m_transfersWithoutProgress = 0;
        } else {
            refusals[&step].insert({ transfer.from.value(), progress.transferredTo });
            std::set<uint32_t> failedAttempts = transferred.failedAttempts;
            failedAttempts.merge(progress.failedAttempts);
            std::map<uint32_t, Jobs::TaskCrash> crashes = transferred.crashes;
            crashes.merge(progress.crashes);
            progress = transferred;
            progress.failedAttempts = std::move(failedAttempts);
            progress.crashes = std::move(crashes);
            progress.lastAttempt = lastAttempt;
            step.waitingCount += task.waiting() ? 1 : 0;
            task.requiredChange = m_changes;
            // An earlier owner may have received it too.
            task.mayBeElsewhere = m_recovered;
        }
        m_hasStartedTask = m_hasStartedTask || lastAttempt > 0 || transferred.done;
    });
    for (const auto& [step, cells] : refusals) {
        for (const std::string& cell : cells)
            ++step->refusals[cell];
    }
    if (m_hasStartedTask && !isFinal(phase()))
        m_record.phase = Jobs::JobPhase::Running;
    for (auto& [occurrence, open] : m_occurrences) {
        for (uint32_t step = 0; step < open.steps.size(); ++step)
            updateUsedUpTasks(step, open.steps[step]);
    }
    for (const auto& [occurrence, steps] : transfer.part.progress)
        closeFinished(occurrence);
}

void LiveJob::noteRefusals(const TaskTransfer& transfer)
{
    ++m_changes;
    for (auto& [occurrence, open] : m_occurrences) {
        for (LiveStep& step : open.steps) {
            if (step.waitingCount > 0)
                ++step.refusals[transfer.from.value()];
            for (LiveTask& task : step.tasks)
                task.requiredChange = m_changes;
        }
    }
}

void LiveJob::continueWait(uint32_t occurrence, uint32_t step, Common::MonotonicTime since)
{
    const auto open = m_occurrences.find(occurrence);
    if (open == m_occurrences.end() || step >= open->second.steps.size())
        return;
    std::optional<BlockedStep>& blocked = open->second.steps[step].blocked;
    if (!blocked || blocked->since > since)
        blocked = BlockedStep { since, {} };
}

void LiveJob::updateUsedUpTasks(uint32_t stepIndex, LiveStep& step) const
{
    const Jobs::StepSpec& spec = stepSpec(stepIndex);
    if (m_record.policy.maximumAttempts == 0 || spec.longRunning)
        return;
    size_t failuresOfGang = 0;
    for (const LiveTask& task : step.tasks)
        failuresOfGang += task.progress.failedAttempts.size();
    for (LiveTask& task : step.tasks) {
        const size_t failures = spec.gang ? failuresOfGang : task.progress.failedAttempts.size();
        const bool waited = task.waiting();
        task.attemptsUsedUp = !task.progress.done && failures >= m_record.policy.maximumAttempts;
        step.waitingCount -= waited && !task.waiting() ? 1 : 0;
        step.waitingCount += !waited && task.waiting() ? 1 : 0;
    }
}

std::vector<Jobs::TaskName> LiveJob::endedTasks() const
{
    std::vector<Jobs::TaskName> ended;
    for (const auto& [occurrence, open] : m_occurrences) {
        for (uint32_t step = 0; step < open.steps.size(); ++step) {
            const std::vector<LiveTask>& tasks = open.steps[step].tasks;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                const LiveTask& task = tasks[index];
                const Jobs::TaskName name { id(), occurrence, step, index };
                const bool isOver = task.attemptsUsedUp
                    || (!task.progress.done && !task.progress.crashes.empty() && crashHistory(name).isGivenUp());
                if (task.progress.transferredTo.empty() && (task.progress.done || (isOver && !task.run)))
                    ended.push_back(name);
            }
        }
    }
    return ended;
}

bool LiveJob::hasUsedUpTask() const
{
    return hasTask([](const LiveTask& task) { return task.attemptsUsedUp && task.progress.transferredTo.empty(); });
}

bool LiveJob::hasRun() const
{
    return hasTask([](const LiveTask& task) { return task.run.has_value(); });
}

template <typename Condition> bool LiveJob::hasTask(const Condition& condition) const
{
    for (const auto& [occurrence, open] : m_occurrences) {
        for (const LiveStep& step : open.steps) {
            if (std::any_of(step.tasks.begin(), step.tasks.end(), condition))
                return true;
        }
    }
    return false;
}

Jobs::JobRecord LiveJob::cancelledPart() const
{
    Jobs::JobRecord part = m_record;
    part.isPart = true;
    part.partCells.clear();
    part.transfersReceived.clear();
    part.transfersSent = 0;
    part.phase = Jobs::JobPhase::Cancelled;
    return part;
}

} // namespace Cells
