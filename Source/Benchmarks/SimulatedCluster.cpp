// Integrates the work of tasks whose speeds depend on the other tasks of their worker.
#include "SimulatedCluster.h"

#include <algorithm>
#include <cmath>

namespace Benchmarks {

using Common::Duration;
using Common::TaskId;

namespace {

    constexpr double throttledSpeed = 0.25;
    constexpr Duration checkpointTime = std::chrono::seconds(1);
    constexpr size_t workersPerRack = 8;
    /// Speeds are updated at least this often, to follow the waves.
    constexpr double longestStepSeconds = 1;

} // namespace

SimulatedCluster::SimulatedCluster(
    Fakes::VirtualRuntime& runtime, std::vector<Kind> kinds, size_t workers, Common::Resources capacity)
    : m_runtime(runtime)
    , m_kinds(std::move(kinds))
    , m_capacity(capacity)
    , m_workers(workers)
{
}

void SimulatedCluster::start(size_t worker, Task task)
{
    advance(m_workers[worker]);
    const TaskId id = task.id;
    m_workers[worker].tasks.emplace(id, std::move(task));
    updateSpeeds(worker);
}

SimulatedCluster::Task SimulatedCluster::stop(size_t worker, const TaskId& id)
{
    advance(m_workers[worker]);
    Task stopped = std::move(m_workers[worker].tasks.at(id));
    m_workers[worker].tasks.erase(id);
    updateSpeeds(worker);
    return stopped;
}

void SimulatedCluster::setThrottled(size_t worker, const TaskId& id, bool throttled)
{
    advance(m_workers[worker]);
    const auto found = m_workers[worker].tasks.find(id);
    if (found != m_workers[worker].tasks.end())
        found->second.throttled = throttled;
    updateSpeeds(worker);
}

void SimulatedCluster::checkpoint(size_t worker, const TaskId& id)
{
    m_runtime.schedule(checkpointTime, [this, worker, id] {
        advance(m_workers[worker]);
        const auto found = m_workers[worker].tasks.find(id);
        if (found == m_workers[worker].tasks.end())
            return;
        found->second.checkpoint = "c" + std::to_string(++m_checkpoints);
        found->second.checkpointed = found->second.done;
    });
}

bool SimulatedCluster::has(size_t worker, const TaskId& id) const { return m_workers[worker].tasks.contains(id); }

Scheduler::WorkerReport SimulatedCluster::report(size_t worker) const
{
    Scheduler::WorkerReport report { .worker = idOf(worker) };
    report.boot = Common::WorkerBootId("boot");
    report.clock.milliseconds = m_runtime.wallMilliseconds();
    report.rack = Common::RackId("rack" + std::to_string(worker / workersPerRack));
    report.capacity = m_capacity;
    for (const auto& [id, task] : m_workers[worker].tasks) {
        Scheduler::TaskReport entry { .task = id, .kind = task.taskKind, .declared = task.declared };
        entry.throttled = task.throttled;
        entry.checkpoint = task.checkpoint;
        entry.sampledAt.milliseconds = task.sampledAt;
        entry.speedPerMille = static_cast<int64_t>(task.sampledSpeed * 1000);
        if (task.sampledAt > 0)
            entry.used = task.used;
        report.tasks.push_back(std::move(entry));
    }
    return report;
}

void SimulatedCluster::sample()
{
    for (size_t worker = 0; worker < m_workers.size(); ++worker) {
        advance(m_workers[worker]);
        updateSpeeds(worker);
        for (auto& [id, task] : m_workers[worker].tasks) {
            task.sampledSpeed = task.speed;
            task.sampledAt = m_runtime.wallMilliseconds();
        }
    }
}

Common::WorkerId SimulatedCluster::idOf(size_t worker) { return Common::WorkerId("w" + std::to_string(worker)); }

void SimulatedCluster::advance(Worker& worker)
{
    const double passed = std::chrono::duration<double>(m_runtime.now() - worker.advancedTo).count();
    worker.advancedTo = m_runtime.now();
    for (auto& [id, task] : worker.tasks)
        task.done += passed * task.speed;
}

void SimulatedCluster::updateSpeeds(size_t index)
{
    Worker& worker = m_workers[index];
    std::vector<double> noisy(m_kinds.size(), 0);
    for (const auto& [id, task] : worker.tasks) {
        if (interferes(task))
            noisy[task.kind] += task.throttled ? throttledSpeed : 1;
    }
    double next = longestStepSeconds;
    for (auto& [id, task] : worker.tasks) {
        double slowdown = 0;
        for (size_t kind = 0; kind < m_kinds.size(); ++kind) {
            const double own = kind == task.kind && interferes(task) ? (task.throttled ? throttledSpeed : 1) : 0;
            slowdown += m_kinds[task.kind].suffers[kind] * (noisy[kind] - own);
        }
        task.speed = (task.throttled ? throttledSpeed : 1) / (1 + slowdown);
        next = std::min(next, std::max(0.0, task.work - task.done) / task.speed);
    }
    m_runtime.cancel(worker.timer);
    if (worker.tasks.empty())
        return;
    const Duration delay(static_cast<Duration::rep>(std::ceil(next * 1e6)) + 1);
    worker.timer = m_runtime.schedule(delay, [this, index] { finishDueTasks(index); });
}

void SimulatedCluster::finishDueTasks(size_t index)
{
    Worker& worker = m_workers[index];
    advance(worker);
    std::vector<Task> finished;
    for (auto entry = worker.tasks.begin(); entry != worker.tasks.end();) {
        if (entry->second.done + 1e-9 < entry->second.work) {
            ++entry;
            continue;
        }
        finished.push_back(std::move(entry->second));
        entry = worker.tasks.erase(entry);
    }
    updateSpeeds(index);
    for (const Task& task : finished)
        task.onFinished(task);
}

double SimulatedCluster::seconds() const
{
    return std::chrono::duration<double>(m_runtime.now().time_since_epoch()).count();
}

bool SimulatedCluster::interferes(const Task& task) const
{
    const Kind& kind = m_kinds[task.kind];
    if (kind.waveSeconds <= 0)
        return true;
    return std::fmod(seconds() + task.phase, kind.waveSeconds) < kind.noisySeconds;
}

} // namespace Benchmarks
