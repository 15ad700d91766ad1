// Progress of a job's occurrences, steps and tasks.
#include "Cells/LiveJob.h"

#include <algorithm>
#include <iterator>

namespace Cells {

namespace {

    LiveStep emptyStep(const Jobs::StepSpec& spec, bool mayBeElsewhere)
    {
        LiveTask task;
        task.mayBeElsewhere = mayBeElsewhere;
        LiveStep step;
        step.tasks.resize(spec.taskCount, task);
        step.waitingCount = spec.taskCount;
        return step;
    }

    void restore(LiveStep& step, const std::vector<Jobs::TaskProgress>& progress)
    {
        const size_t known = std::min(step.tasks.size(), progress.size());
        for (size_t index = 0; index < known; ++index) {
            step.tasks[index].progress = progress[index];
            step.doneCount += progress[index].done ? 1 : 0;
            step.waitingCount -= step.tasks[index].waiting() ? 0 : 1;
        }
    }

} // namespace

LiveJob::LiveJob(Jobs::JobRecord record, bool recovered, Common::MonotonicTime now, int64_t wallMilliseconds)
    : m_record(std::move(record))
    , m_recovered(recovered)
{
    const auto progress = std::exchange(m_record.progress, {});
    const double stretched = m_record.policy.stretch * static_cast<double>(totalCriticalPath().count());
    m_objective = Common::Duration(static_cast<Common::Duration::rep>(stretched)) + m_record.policy.targetDuration;
    m_hasStartedTask = m_record.phase == Jobs::JobPhase::Running;
    if (isFinal(m_record.phase))
        return;
    for (const auto& [occurrence, steps] : progress) {
        LiveOccurrence restored = open(occurrence, now, wallMilliseconds);
        for (uint32_t step = 0; step < std::min(steps.size(), restored.steps.size()); ++step) {
            restore(restored.steps[step], steps[step]);
            updateUsedUpTasks(step, restored.steps[step]);
        }
        m_occurrences.emplace(occurrence, std::move(restored));
    }
    closeReturned();
}

LiveOccurrence LiveJob::open(uint32_t occurrence, Common::MonotonicTime now, int64_t wallMilliseconds) const
{
    LiveOccurrence opened;
    for (const Jobs::StepSpec& spec : m_record.spec.steps)
        opened.steps.push_back(emptyStep(spec, m_recovered));
    const int64_t due
        = m_record.spec.isScheduled() ? m_record.spec.dueMilliseconds(occurrence) : m_record.acceptedMilliseconds;
    // Wall clocks of hosts differ and may jump; an age below zero would place the start of the occurrence in the
    // future.
    const int64_t age = std::max<int64_t>(0, wallMilliseconds - due);
    opened.objectiveStartsAt = now - std::chrono::milliseconds(age);
    return opened;
}

std::optional<int64_t> LiveJob::openDueOccurrences(Common::MonotonicTime now, int64_t wallMilliseconds)
{
    if (isFinal(phase()) || isPart())
        return std::nullopt;
    for (uint32_t occurrence = 0; occurrence < m_record.spec.occurrenceCount(); ++occurrence) {
        if (m_record.finishedOccurrences.contains(occurrence) || m_occurrences.contains(occurrence))
            continue;
        if (const int64_t due = m_record.spec.dueMilliseconds(occurrence); due > wallMilliseconds)
            return due;
        m_occurrences.emplace(occurrence, open(occurrence, now, wallMilliseconds));
    }
    return std::nullopt;
}

void LiveJob::openStarted(uint32_t occurrence, Common::MonotonicTime now, int64_t wallMilliseconds)
{
    const bool isUnknown = occurrence < m_record.spec.occurrenceCount()
        && !m_record.finishedOccurrences.contains(occurrence) && !m_occurrences.contains(occurrence);
    if (isUnknown && !isFinal(phase()) && !isPart())
        m_occurrences.emplace(occurrence, open(occurrence, now, wallMilliseconds));
}

LiveStep* LiveJob::stepOf(const Jobs::TaskName& name)
{
    const auto occurrence = m_occurrences.find(name.occurrence);
    if (occurrence == m_occurrences.end() || name.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[name.step];
}

LiveTask* LiveJob::find(const Jobs::TaskName& name)
{
    LiveStep* const step = stepOf(name);
    return step && name.index < step->tasks.size() ? &step->tasks[name.index] : nullptr;
}

bool LiveJob::isStartable(const LiveOccurrence& occurrence, uint32_t step) const
{
    const std::vector<uint32_t>& after = m_record.spec.steps[step].after;
    return std::all_of(
        after.begin(), after.end(), [&](uint32_t earlier) { return occurrence.steps.at(earlier).isComplete(); });
}

void LiveJob::recordAttempt(const Jobs::TaskName& name, Common::AttemptNumber attempt)
{
    if (LiveTask* const task = find(name))
        task->progress.lastAttempt = std::max(task->progress.lastAttempt, attempt.value);
}

void LiveJob::beginRun(const Jobs::TaskName& name, TaskRun run)
{
    LiveStep* const step = stepOf(name);
    LiveTask& task = step->tasks.at(name.index);
    task.progress.lastAttempt = std::max(task.progress.lastAttempt, run.attempt.value);
    task.run = std::move(run);
    --step->waitingCount;
    m_transfersWithoutProgress = 0;
    m_hasStartedTask = true;
    m_record.phase = Jobs::JobPhase::Running;
}

void LiveJob::adoptRun(const Jobs::TaskName& name, TaskRun run)
{
    LiveTask* const task = find(name);
    if (task && task->waiting())
        beginRun(name, std::move(run));
}

void LiveJob::noteListed(const Jobs::TaskName& name, uint32_t lastAttemptBefore)
{
    LiveTask& task = *find(name);
    const uint32_t attempt = task.run->attempt.value;
    // A later run may be on a worker that hasn't reported.
    if (attempt < lastAttemptBefore)
        return;
    task.mayBeElsewhere = false;
    if (!isNotCompleteForEarlierOwners(name, attempt))
        return;
    LiveOccurrence& occurrence = m_occurrences.at(name.occurrence);
    // Steps depend on earlier steps only.
    std::vector<bool> dependent(occurrence.steps.size(), false);
    for (uint32_t step = name.step + 1; step < occurrence.steps.size(); ++step) {
        const std::vector<uint32_t>& after = stepSpec(step).after;
        dependent[step] = std::any_of(
            after.begin(), after.end(), [&](uint32_t earlier) { return earlier == name.step || dependent[earlier]; });
        if (!dependent[step])
            continue;
        for (LiveTask& later : occurrence.steps[step].tasks)
            later.mayBeElsewhere = false;
    }
}

/// Whether earlier owners can't have seen the step of the listed run complete.
bool LiveJob::isNotCompleteForEarlierOwners(const Jobs::TaskName& name, uint32_t attempt) const
{
    const LiveStep& step = m_occurrences.at(name.occurrence).steps[name.step];
    // An earlier run that was given up may have ended done after all, which completes the task while this one runs.
    const std::set<uint32_t>& failed = step.tasks[name.index].progress.failedAttempts;
    if (std::distance(failed.begin(), failed.lower_bound(attempt)) + 1 < static_cast<ptrdiff_t>(attempt))
        return false;
    // One member that is done completes its gang.
    return !stepSpec(name.step).gang
        || std::none_of(step.tasks.begin(), step.tasks.end(), [](const LiveTask& task) { return task.mayBeElsewhere; });
}

void LiveJob::clearRun(const Jobs::TaskName& name)
{
    LiveStep* const step = stepOf(name);
    if (!step || name.index >= step->tasks.size() || !step->tasks[name.index].run)
        return;
    step->tasks[name.index].run.reset();
    if (step->tasks[name.index].waiting())
        ++step->waitingCount;
}

bool LiveJob::markDone(const Jobs::TaskName& name)
{
    LiveStep* const step = stepOf(name);
    if (!step || name.index >= step->tasks.size() || isLongRunning(name))
        return false;
    const bool gang = stepSpec(name.step).gang;
    bool changed = false;
    for (uint32_t index = 0; index < step->tasks.size(); ++index) {
        LiveTask& task = step->tasks[index];
        if ((!gang && index != name.index) || task.progress.done)
            continue;
        if (task.waiting())
            --step->waitingCount;
        task.progress = Jobs::TaskProgress { .done = true, .lastAttempt = task.progress.lastAttempt };
        ++step->doneCount;
        changed = true;
    }
    if (changed) {
        ++m_changes;
        closeFinished(name.occurrence);
    }
    return changed;
}

void LiveJob::closeFinished(uint32_t occurrence)
{
    const auto found = m_occurrences.find(occurrence);
    if (isPart() || found == m_occurrences.end())
        return;
    const auto& steps = found->second.steps;
    if (!std::all_of(steps.begin(), steps.end(), [](const LiveStep& step) { return step.isComplete(); }))
        return;
    m_record.finishedOccurrences.insert(occurrence);
    m_occurrences.erase(found);
}

bool LiveJob::markFailed(const Jobs::TaskName& name, Common::AttemptNumber attempt)
{
    LiveTask* const task = find(name);
    if (!task || task->progress.done)
        return false;
    const auto counted
        = [attempt](const LiveTask& other) { return other.progress.failedAttempts.contains(attempt.value); };
    const std::vector<LiveTask>& members = stepOf(name)->tasks;
    const bool known = stepSpec(name.step).gang ? std::any_of(members.begin(), members.end(), counted) : counted(*task);
    if (known)
        return false;
    task->progress.failedAttempts.insert(attempt.value);
    ++m_changes;
    updateUsedUpTasks(name.step, *stepOf(name));
    return task->attemptsUsedUp;
}

bool LiveJob::recordCrash(const Jobs::TaskName& name, Common::AttemptNumber attempt, const Jobs::TaskCrash& crash)
{
    LiveTask* const task = find(name);
    if (!task || task->progress.done)
        return false;
    std::vector<LiveTask>& members = stepOf(name)->tasks;
    const bool gang = stepSpec(name.step).gang;
    const auto counted = [attempt](const LiveTask& other) { return other.progress.crashes.contains(attempt.value); };
    if (gang ? std::any_of(members.begin(), members.end(), counted) : counted(*task))
        return false;
    task->progress.crashes.emplace(attempt.value, crash);
    task->progress.lastAttempt = std::max(task->progress.lastAttempt, attempt.value);
    ++m_changes;
    for (LiveTask& member : members) {
        if (gang || &member == task)
            member.requiredChange = m_changes;
    }
    return true;
}

Policy::CrashHistory LiveJob::crashHistory(const Jobs::TaskName& name) const
{
    const LiveStep& step = m_occurrences.at(name.occurrence).steps.at(name.step);
    Policy::CrashHistory history;
    const auto add = [&history](const LiveTask& task) {
        for (const auto& [attempt, crash] : task.progress.crashes) {
            if (crash.excused)
                history.addExcused();
            else
                history.add({ crash.worker, crash.started, crash.fresh, crash.alone });
        }
        history.unconfirmed = std::max<size_t>(history.unconfirmed, task.unconfirmedCrashes);
    };
    if (!stepSpec(name.step).gang) {
        add(step.tasks.at(name.index));
        return history;
    }
    for (const LiveTask& member : step.tasks)
        add(member);
    return history;
}

void LiveJob::updateCheckpoint(const Jobs::TaskName& name, const std::string& checkpoint)
{
    LiveTask* const task = find(name);
    if (!task || task->progress.done)
        return;
    task->progress.checkpoint = checkpoint;
    // A checkpoint of any member is valid for the whole gang, and all members must resume from the same one.
    if (!stepSpec(name.step).gang)
        return;
    for (LiveTask& member : stepOf(name)->tasks)
        member.progress.checkpoint = checkpoint;
}

void LiveJob::saveCheckpoint(const Jobs::TaskName& name, const std::string& checkpoint)
{
    const LiveTask* const task = find(name);
    if (!task || task->progress.done || checkpoint.empty() || task->progress.checkpoint == checkpoint)
        return;
    updateCheckpoint(name, checkpoint);
    ++m_changes;
}

bool LiveJob::isComplete() const { return m_record.finishedOccurrences.size() == m_record.spec.occurrenceCount(); }

void LiveJob::finish(Jobs::JobPhase phase, int64_t wallMilliseconds, const std::string& reason)
{
    m_record.phase = phase;
    m_record.failureReason = reason;
    m_record.finishedMilliseconds = wallMilliseconds;
    m_occurrences.clear();
    ++m_changes;
}

Common::Duration LiveJob::criticalPathFrom(const LiveOccurrence* occurrence, uint32_t step) const
{
    // Steps depend on earlier steps only, so one pass from the last step to the first finds every chain.
    const auto& steps = m_record.spec.steps;
    std::vector<Common::Duration> chains(steps.size(), Common::Duration::zero());
    Common::Duration longest {};
    for (size_t index = steps.size(); index-- > step;) {
        const bool done = occurrence && occurrence->steps[index].isComplete();
        const Common::Duration own = chains[index] + (done ? Common::Duration::zero() : steps[index].estimate);
        longest = std::max(longest, own);
        for (const uint32_t earlier : steps[index].after)
            chains[earlier] = std::max(chains[earlier], own);
    }
    return longest;
}

Common::Duration LiveJob::remainingCriticalPath(const LiveOccurrence& occurrence) const
{
    return criticalPathFrom(&occurrence, 0);
}

Common::Duration LiveJob::totalCriticalPath() const { return criticalPathFrom(nullptr, 0); }

Jobs::JobRecord LiveJob::toRecord() const
{
    Jobs::JobRecord record = m_record;
    for (const auto& [occurrence, live] : m_occurrences) {
        Jobs::JobRecord::OccurrenceProgress steps;
        for (const LiveStep& step : live.steps) {
            std::vector<Jobs::TaskProgress> tasks;
            for (const LiveTask& task : step.tasks)
                tasks.push_back(task.progress);
            steps.push_back(std::move(tasks));
        }
        record.progress.emplace(occurrence, std::move(steps));
    }
    return record;
}

void LiveJob::committed(uint64_t changes) { m_committedChanges = std::max(m_committedChanges, changes); }

} // namespace Cells
