// Steps of relief with hysteresis.
#include "Policy/EvictionPlanner.h"

#include <algorithm>

namespace Policy {

using Common::MonotonicTime;
using Common::TaskId;
using Scheduler::TaskControl;
using Scheduler::TaskKind;
using Scheduler::TaskReport;
using Scheduler::TaskState;

namespace {

    constexpr int largestEaseFactor = 16;
    /// For latency, only tasks with at least this share of the largest harm are worth stopping.
    constexpr double harmShare = 0.5;

    bool runningBatch(const TaskReport& task)
    {
        return task.kind == TaskKind::Batch && task.state == TaskState::Running;
    }

    std::chrono::milliseconds between(Common::WorkerTime from, Common::WorkerTime to)
    {
        return std::chrono::milliseconds(to.milliseconds - from.milliseconds);
    }

    const TaskReport* findRunning(const Scheduler::WorkerReport& report, const TaskId& id)
    {
        for (const TaskReport& task : report.tasks) {
            if (task.task == id && runningBatch(task))
                return &task;
        }
        return nullptr;
    }

} // namespace

EvictionPlanner::EvictionPlanner(Settings settings)
    : m_settings(settings)
    , m_tokens(settings.burst)
{
}

std::optional<EvictionAction> EvictionPlanner::plan(const Scheduler::WorkerReport& report, const Lookup& lookup,
    MonotonicTime now, std::optional<int64_t> measuredSpeed)
{
    Worker& worker = m_workers[report.worker];
    if (worker.boot != report.boot)
        worker = Worker { .boot = report.boot };
    track(worker, report);
    Situation situation = situationOf(report);
    if (measuredSpeed) {
        situation.speedPerMille = measuredSpeed;
        situation.newestSample = report.clock;
    }
    const Round round { report, lookup, situation, now };
    judge(worker, round);
    std::optional<EvictionAction> action = nextStep(worker, round);
    if (action)
        worker.lastStep = report.clock;
    return action;
}

void EvictionPlanner::forget(const Common::WorkerId& worker) { m_workers.erase(worker); }

EvictionPlanner::Situation EvictionPlanner::situationOf(const Scheduler::WorkerReport& report)
{
    Situation situation;
    int64_t speeds = 0;
    int64_t requests = 0;
    int64_t memory = 0;
    for (const TaskReport& task : report.tasks) {
        if (task.state != TaskState::Running)
            continue;
        memory += task.used.memoryMegabytes;
        situation.newestSample = std::max(situation.newestSample, task.sampledAt);
        if (task.kind != TaskKind::Request || task.sampledAt.milliseconds == 0)
            continue;
        speeds += task.speedPerMille;
        ++requests;
    }
    if (requests > 0)
        situation.speedPerMille = speeds / requests;
    if (report.capacity.memoryMegabytes > 0)
        situation.memoryPercent = memory * 100 / report.capacity.memoryMegabytes;
    return situation;
}

void EvictionPlanner::track(Worker& worker, const Scheduler::WorkerReport& report)
{
    std::unordered_map<TaskId, TaskProgress> tasks;
    for (const TaskReport& task : report.tasks) {
        if (!runningBatch(task))
            continue;
        const auto known = worker.tasks.find(task.task);
        const bool unchanged = known != worker.tasks.end() && known->second.checkpoint == task.checkpoint;
        tasks[task.task] = unchanged ? known->second : TaskProgress { task.checkpoint, report.clock };
    }
    worker.tasks = std::move(tasks);
}

void EvictionPlanner::judge(Worker& worker, const Round& round) const
{
    const Situation& situation = round.situation;
    // Samples from before the last step don't show what it did.
    const bool fresh = situation.newestSample > worker.lastSample && situation.newestSample > worker.lastStep;
    if (hasRecovered(situation)) {
        worker.pressedSamples = 0;
        if (!worker.easySince)
            worker.easySince = round.report.clock;
        return;
    }
    const bool slow = situation.speedPerMille && *situation.speedPerMille < m_settings.pressurePerMille;
    const bool full = situation.memoryPercent >= m_settings.memoryPressurePercent;
    worker.easySince.reset();
    if (!slow && !full) {
        worker.pressedSamples = 0;
        return;
    }
    if (!fresh)
        return;
    worker.lastSample = situation.newestSample;
    ++worker.pressedSamples;
}

bool EvictionPlanner::hasRecovered(const Situation& situation) const
{
    return situation.speedPerMille.value_or(m_settings.recoveredPerMille) >= m_settings.recoveredPerMille
        && situation.memoryPercent < m_settings.memoryPressurePercent;
}

std::optional<EvictionAction> EvictionPlanner::nextStep(Worker& worker, const Round& round)
{
    if (worker.checkpointing)
        return finishCheckpoint(worker, round);
    if (round.situation.memoryPercent >= m_settings.memoryFullPercent)
        return relieveMemory(worker, round);
    if (between(worker.lastStep, round.report.clock) < m_settings.coolDown)
        return std::nullopt;
    if (worker.easySince)
        return unthrottle(worker, round);
    if (worker.pressedSamples < m_settings.samplesToAct)
        return std::nullopt;
    if (round.situation.memoryPercent >= m_settings.memoryPressurePercent)
        return relieveMemory(worker, round);
    return relieveLatency(worker, round);
}

std::optional<EvictionAction> EvictionPlanner::finishCheckpoint(Worker& worker, const Round& round)
{
    const Checkpointing& pending = *worker.checkpointing;
    const TaskReport* task = findRunning(round.report, pending.task);
    if (!task || hasRecovered(round.situation)) {
        worker.checkpointing.reset();
        return std::nullopt;
    }
    const bool written = task->checkpoint != pending.previous;
    const bool late = between(pending.since, round.report.clock) >= m_settings.checkpointTime;
    const bool full = round.situation.memoryPercent >= m_settings.memoryFullPercent;
    if ((!written && !late && !full) || !mayStop(round.now))
        return std::nullopt;
    return stop(worker, round, task->task);
}

std::optional<EvictionAction> EvictionPlanner::relieveMemory(Worker& worker, const Round& round)
{
    const bool full = round.situation.memoryPercent >= m_settings.memoryFullPercent;
    const TaskReport* task = leastLost(worker, round, 0, full);
    // A stop takes a moment to show; one at a time.
    if (!task || (full && between(worker.lastStep, round.report.clock) < m_settings.coolDown / 2))
        return std::nullopt;
    if (!full)
        return beginCheckpoint(worker, round, *task);
    return mayStop(round.now) ? std::optional(stop(worker, round, task->task)) : std::nullopt;
}

std::optional<EvictionAction> EvictionPlanner::relieveLatency(Worker& worker, const Round& round)
{
    if (between(worker.unthrottledAt, round.report.clock) < m_settings.recoveryBeforeUnthrottle * worker.easeFactor)
        worker.easeFactor = std::min(largestEaseFactor, worker.easeFactor * 2);
    if (const TaskReport* task = mostHarmful(round)) {
        worker.pressedSamples = 0;
        return EvictionAction { round.report.worker, task->task, TaskControl::Throttle };
    }
    if (*round.situation.speedPerMille >= m_settings.stopBelowPerMille)
        return std::nullopt;
    double largestHarm = 0;
    for (const TaskReport& task : round.report.tasks) {
        if (runningBatch(task))
            largestHarm = std::max(largestHarm, round.lookup(task).harm);
    }
    const TaskReport* task = leastLost(worker, round, largestHarm * harmShare, false);
    return task ? std::optional(beginCheckpoint(worker, round, *task)) : std::nullopt;
}

std::optional<EvictionAction> EvictionPlanner::unthrottle(Worker& worker, const Round& round) const
{
    const auto easyFor = between(*worker.easySince, round.report.clock);
    if (easyFor < m_settings.recoveryBeforeUnthrottle * worker.easeFactor)
        return std::nullopt;
    const TaskReport* mildest = nullptr;
    for (const TaskReport& task : round.report.tasks) {
        if (!runningBatch(task) || !task.throttled)
            continue;
        if (!mildest || round.lookup(task).harm < round.lookup(*mildest).harm)
            mildest = &task;
    }
    worker.easySince = round.report.clock;
    if (!mildest) {
        worker.easeFactor = 1;
        return std::nullopt;
    }
    worker.unthrottledAt = round.report.clock;
    return EvictionAction { round.report.worker, mildest->task, TaskControl::Unthrottle };
}

const TaskReport* EvictionPlanner::mostHarmful(const Round& round) const
{
    const TaskReport* worst = nullptr;
    double largestHarm = 0;
    for (const TaskReport& task : round.report.tasks) {
        if (!runningBatch(task) || task.throttled)
            continue;
        const double harm = round.lookup(task).harm;
        if (worst && harm <= largestHarm)
            continue;
        worst = &task;
        largestHarm = harm;
    }
    return worst;
}

const TaskReport* EvictionPlanner::leastLost(
    const Worker& worker, const Round& round, double minimumHarm, bool anyAge) const
{
    const TaskReport* best = nullptr;
    std::pair<Scheduler::Priority, int64_t> lowest;
    for (const TaskReport& task : round.report.tasks) {
        if (!runningBatch(task))
            continue;
        const EvictionCandidate candidate = round.lookup(task);
        const bool young = round.now - candidate.startedAt < candidate.minimumRunTime;
        if (!candidate.evictable || candidate.harm < minimumHarm || (young && !anyAge))
            continue;
        const auto unsaved = between(worker.tasks.at(task.task).safeSince, round.report.clock).count();
        const std::pair loss(candidate.priority, unsaved * std::max<int64_t>(1, task.declared.milliCores));
        if (best && loss >= lowest)
            continue;
        best = &task;
        lowest = loss;
    }
    return best;
}

EvictionAction EvictionPlanner::beginCheckpoint(Worker& worker, const Round& round, const TaskReport& task) const
{
    worker.checkpointing = Checkpointing { task.task, task.checkpoint, round.report.clock };
    worker.pressedSamples = 0;
    return EvictionAction { round.report.worker, task.task, TaskControl::Checkpoint };
}

bool EvictionPlanner::mayStop(MonotonicTime now)
{
    if (m_refilledAt) {
        const double minutes = std::chrono::duration<double, std::ratio<60>>(now - *m_refilledAt).count();
        m_tokens = std::min(m_settings.burst, m_tokens + minutes * m_settings.stopsPerMinute);
    }
    m_refilledAt = now;
    return m_tokens >= 1;
}

EvictionAction EvictionPlanner::stop(Worker& worker, const Round& round, const TaskId& task)
{
    m_tokens -= 1;
    ++m_stops;
    worker.checkpointing.reset();
    worker.pressedSamples = 0;
    return EvictionAction { round.report.worker, task, TaskControl::Stop };
}

} // namespace Policy
