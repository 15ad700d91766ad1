// Chooses the next relief step. Different bounds for pressure and recovery prevent it from switching back and forth.
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

    constexpr int maximumRecoveryFactor = 16;
    /// To relieve latency, only tasks with at least this share of the largest harm are stopped.
    constexpr double minimumHarmShare = 0.5;

    bool isRunningBatch(const TaskReport& task)
    {
        return task.kind == TaskKind::Batch && task.state == TaskState::Running;
    }

    std::chrono::milliseconds elapsed(Common::WorkerTime from, Common::WorkerTime to)
    {
        return std::chrono::milliseconds(to.milliseconds - from.milliseconds);
    }

    const TaskReport* findRunning(const Scheduler::WorkerReport& report, const TaskId& id)
    {
        for (const TaskReport& task : report.tasks) {
            if (task.task == id && isRunningBatch(task))
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
    updateTasks(worker, report);
    WorkerLoad load = loadFrom(report);
    if (measuredSpeed) {
        load.speedPerMille = measuredSpeed;
        load.newestSample = report.clock;
    }
    const Evaluation evaluation { report, lookup, load, now };
    updatePressure(worker, evaluation);
    std::optional<EvictionAction> action = nextStep(worker, evaluation);
    if (action)
        worker.lastStep = report.clock;
    return action;
}

void EvictionPlanner::forget(const Common::WorkerId& worker) { m_workers.erase(worker); }

EvictionPlanner::WorkerLoad EvictionPlanner::loadFrom(const Scheduler::WorkerReport& report)
{
    WorkerLoad load;
    int64_t speeds = 0;
    int64_t requests = 0;
    int64_t memory = 0;
    for (const TaskReport& task : report.tasks) {
        if (task.state != TaskState::Running)
            continue;
        memory += task.used.memoryMegabytes;
        load.newestSample = std::max(load.newestSample, task.sampledAt);
        if (task.kind != TaskKind::Request || task.sampledAt.milliseconds == 0)
            continue;
        speeds += task.speedPerMille;
        ++requests;
    }
    if (requests > 0)
        load.speedPerMille = speeds / requests;
    if (report.capacity.memoryMegabytes > 0)
        load.memoryPercent = memory * 100 / report.capacity.memoryMegabytes;
    return load;
}

void EvictionPlanner::updateTasks(Worker& worker, const Scheduler::WorkerReport& report)
{
    std::unordered_map<TaskId, TaskProgress> tasks;
    for (const TaskReport& task : report.tasks) {
        if (!isRunningBatch(task))
            continue;
        const auto known = worker.tasks.find(task.task);
        const bool unchanged = known != worker.tasks.end() && known->second.checkpoint == task.checkpoint;
        tasks[task.task] = unchanged ? known->second : TaskProgress { task.checkpoint, report.clock };
    }
    worker.tasks = std::move(tasks);
}

void EvictionPlanner::updatePressure(Worker& worker, const Evaluation& evaluation) const
{
    const WorkerLoad& load = evaluation.load;
    // Samples taken before the last step don't show its effect.
    const bool fresh = load.newestSample > worker.lastSample && load.newestSample > worker.lastStep;
    if (hasRecovered(load)) {
        worker.pressedSamples = 0;
        if (!worker.recoveredSince)
            worker.recoveredSince = evaluation.report.clock;
        return;
    }
    const bool slow = load.speedPerMille && *load.speedPerMille < m_settings.pressurePerMille;
    const bool full = load.memoryPercent >= m_settings.memoryPressurePercent;
    worker.recoveredSince.reset();
    if (!slow && !full) {
        worker.pressedSamples = 0;
        return;
    }
    if (!fresh)
        return;
    worker.lastSample = load.newestSample;
    ++worker.pressedSamples;
}

bool EvictionPlanner::hasRecovered(const WorkerLoad& load) const
{
    return load.speedPerMille.value_or(m_settings.recoveredPerMille) >= m_settings.recoveredPerMille
        && load.memoryPercent < m_settings.memoryPressurePercent;
}

std::optional<EvictionAction> EvictionPlanner::nextStep(Worker& worker, const Evaluation& evaluation)
{
    if (worker.checkpointing)
        return finishCheckpoint(worker, evaluation);
    if (evaluation.load.memoryPercent >= m_settings.memoryFullPercent)
        return relieveMemory(worker, evaluation);
    if (elapsed(worker.lastStep, evaluation.report.clock) < m_settings.coolDown)
        return std::nullopt;
    if (worker.recoveredSince)
        return unthrottle(worker, evaluation);
    if (worker.pressedSamples < m_settings.samplesToAct)
        return std::nullopt;
    if (evaluation.load.memoryPercent >= m_settings.memoryPressurePercent)
        return relieveMemory(worker, evaluation);
    return relieveLatency(worker, evaluation);
}

std::optional<EvictionAction> EvictionPlanner::finishCheckpoint(Worker& worker, const Evaluation& evaluation)
{
    const Checkpointing& pending = *worker.checkpointing;
    const TaskReport* task = findRunning(evaluation.report, pending.task);
    if (!task || hasRecovered(evaluation.load)) {
        worker.checkpointing.reset();
        return std::nullopt;
    }
    const bool written = task->checkpoint != pending.previous;
    const bool late = elapsed(pending.since, evaluation.report.clock) >= m_settings.checkpointTime;
    const bool full = evaluation.load.memoryPercent >= m_settings.memoryFullPercent;
    if ((!written && !late && !full) || !mayStop(evaluation.now))
        return std::nullopt;
    return stop(worker, evaluation, task->task);
}

std::optional<EvictionAction> EvictionPlanner::relieveMemory(Worker& worker, const Evaluation& evaluation)
{
    const bool full = evaluation.load.memoryPercent >= m_settings.memoryFullPercent;
    const TaskReport* task = cheapestTaskToStop(worker, evaluation, 0, full);
    // The effect of a stop shows with a delay, so tasks are stopped one at a time.
    if (!task || (full && elapsed(worker.lastStep, evaluation.report.clock) < m_settings.coolDown / 2))
        return std::nullopt;
    if (!full)
        return beginCheckpoint(worker, evaluation, *task);
    return mayStop(evaluation.now) ? std::optional(stop(worker, evaluation, task->task)) : std::nullopt;
}

std::optional<EvictionAction> EvictionPlanner::relieveLatency(Worker& worker, const Evaluation& evaluation)
{
    if (elapsed(worker.unthrottledAt, evaluation.report.clock)
        < m_settings.recoveryBeforeUnthrottle * worker.recoveryFactor)
        worker.recoveryFactor = std::min(maximumRecoveryFactor, worker.recoveryFactor * 2);
    if (const TaskReport* task = mostHarmfulTask(evaluation)) {
        worker.pressedSamples = 0;
        return EvictionAction { evaluation.report.worker, task->task, TaskControl::Throttle };
    }
    if (*evaluation.load.speedPerMille >= m_settings.stopBelowPerMille)
        return std::nullopt;
    double largestHarm = 0;
    for (const TaskReport& task : evaluation.report.tasks) {
        if (isRunningBatch(task))
            largestHarm = std::max(largestHarm, evaluation.lookup(task).harm);
    }
    const TaskReport* task = cheapestTaskToStop(worker, evaluation, largestHarm * minimumHarmShare, false);
    return task ? std::optional(beginCheckpoint(worker, evaluation, *task)) : std::nullopt;
}

std::optional<EvictionAction> EvictionPlanner::unthrottle(Worker& worker, const Evaluation& evaluation) const
{
    const auto recoveredFor = elapsed(*worker.recoveredSince, evaluation.report.clock);
    if (recoveredFor < m_settings.recoveryBeforeUnthrottle * worker.recoveryFactor)
        return std::nullopt;
    const TaskReport* leastHarmful = nullptr;
    for (const TaskReport& task : evaluation.report.tasks) {
        if (!isRunningBatch(task) || !task.throttled)
            continue;
        if (!leastHarmful || evaluation.lookup(task).harm < evaluation.lookup(*leastHarmful).harm)
            leastHarmful = &task;
    }
    worker.recoveredSince = evaluation.report.clock;
    if (!leastHarmful) {
        worker.recoveryFactor = 1;
        return std::nullopt;
    }
    worker.unthrottledAt = evaluation.report.clock;
    return EvictionAction { evaluation.report.worker, leastHarmful->task, TaskControl::Unthrottle };
}

const TaskReport* EvictionPlanner::mostHarmfulTask(const Evaluation& evaluation) const
{
    const TaskReport* worst = nullptr;
    double largestHarm = 0;
    for (const TaskReport& task : evaluation.report.tasks) {
        if (!isRunningBatch(task) || task.throttled)
            continue;
        const double harm = evaluation.lookup(task).harm;
        if (worst && harm <= largestHarm)
            continue;
        worst = &task;
        largestHarm = harm;
    }
    return worst;
}

const TaskReport* EvictionPlanner::cheapestTaskToStop(
    const Worker& worker, const Evaluation& evaluation, double minimumHarm, bool anyAge) const
{
    const TaskReport* best = nullptr;
    std::pair<Scheduler::Priority, int64_t> lowest;
    for (const TaskReport& task : evaluation.report.tasks) {
        if (!isRunningBatch(task))
            continue;
        const EvictionCandidate candidate = evaluation.lookup(task);
        const bool young = evaluation.now - candidate.startedAt < candidate.minimumRunTime;
        if (!candidate.evictable || candidate.harm < minimumHarm || (young && !anyAge))
            continue;
        const auto unsaved = elapsed(worker.tasks.at(task.task).safeSince, evaluation.report.clock).count();
        const std::pair loss(candidate.priority, unsaved * std::max<int64_t>(1, task.declared.milliCores));
        if (best && loss >= lowest)
            continue;
        best = &task;
        lowest = loss;
    }
    return best;
}

EvictionAction EvictionPlanner::beginCheckpoint(
    Worker& worker, const Evaluation& evaluation, const TaskReport& task) const
{
    worker.checkpointing = Checkpointing { task.task, task.checkpoint, evaluation.report.clock };
    worker.pressedSamples = 0;
    return EvictionAction { evaluation.report.worker, task.task, TaskControl::Checkpoint };
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

EvictionAction EvictionPlanner::stop(Worker& worker, const Evaluation& evaluation, const TaskId& task)
{
    m_tokens -= 1;
    ++m_stops;
    worker.checkpointing.reset();
    worker.pressedSamples = 0;
    return EvictionAction { evaluation.report.worker, task, TaskControl::Stop };
}

} // namespace Policy
