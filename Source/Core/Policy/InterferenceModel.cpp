// Attributes delayed speed samples to the tasks that ran together when they were taken.
#include "Policy/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace Policy {

using Common::MonotonicTime;
using Scheduler::TaskReport;
using Scheduler::TaskState;

namespace {

    /// ln(20): a speed below a twentieth counts as a twentieth.
    constexpr double largestSlowdown = 3.0;
    /// A pairing updated within the last 1/32 of the half-life is used without decay.
    constexpr int freshShare = 32;

    double slowdownFromSpeed(int64_t speedPerMille)
    {
        const double speed = std::max<double>(1, static_cast<double>(speedPerMille)) / 1000;
        return std::clamp(-std::log(speed), 0.0, largestSlowdown);
    }

} // namespace

InterferenceModel::InterferenceModel()
    : InterferenceModel(Settings {})
{
}

InterferenceModel::InterferenceModel(Settings settings)
    : m_settings(settings)
{
}

InterferenceModel::ClassIndex InterferenceModel::indexOf(const WorkClass& workClass)
{
    const auto known = m_classes.find(workClass);
    if (known != m_classes.end())
        return known->second;
    const size_t count = m_pairings.size();
    if (count >= m_settings.maximumClasses)
        return static_cast<ClassIndex>(count - 1);
    for (std::vector<Pairing>& row : m_pairings)
        row.emplace_back();
    m_pairings.emplace_back(count + 1);
    m_classes.emplace(workClass, static_cast<ClassIndex>(count));
    return static_cast<ClassIndex>(count);
}

void InterferenceModel::observe(const Scheduler::WorkerReport& report, const ClassOf& classOf, MonotonicTime now)
{
    WorkerHistory& history = m_histories[report.worker];
    if (history.boot != report.boot)
        history = WorkerHistory { .boot = report.boot };
    recordSnapshot(history, report, classOf);
    for (const TaskReport& task : report.tasks) {
        // A throttled task is slow because of the throttling, not because of its neighbours.
        if (task.state != TaskState::Running || task.throttled)
            continue;
        Common::WorkerTime& credited = history.credited[task.task];
        if (task.sampledAt <= credited)
            continue;
        credited = task.sampledAt;
        const auto after = std::upper_bound(history.snapshots.begin(), history.snapshots.end(), task.sampledAt,
            [](Common::WorkerTime time, const Snapshot& snapshot) { return time < snapshot.clock; });
        if (after != history.snapshots.begin())
            attributeSample(*std::prev(after), task, now);
    }
}

int64_t InterferenceModel::observeRun(
    ClassIndex victim, const std::vector<ClassIndex>& neighbours, Common::Duration runTime, MonotonicTime now)
{
    const double observed = std::log(std::max<double>(1, static_cast<double>(runTime.count())));
    if (victim >= m_runTimes.size())
        m_runTimes.resize(victim + size_t { 1 }, 0);
    double& alone = m_runTimes[victim];
    if (alone == 0)
        alone = observed;
    const double error = std::clamp(observed - alone - slowdownOf(victim, neighbours, now), -1.0, 1.0);
    const double correction = m_settings.runLearningRate * error / static_cast<double>(neighbours.size() + 1);
    const double aloneBefore = alone;
    alone += correction;
    for (const ClassIndex neighbour : neighbours)
        correct(victim, neighbour, correction, now);
    return static_cast<int64_t>(1000 * std::exp(std::clamp(aloneBefore - observed, -largestSlowdown, largestSlowdown)));
}

void InterferenceModel::forget(const Common::WorkerId& worker) { m_histories.erase(worker); }

double InterferenceModel::slowdown(ClassIndex victim, ClassIndex neighbour, MonotonicTime now) const
{
    const Pairing& learned = pairing(victim, neighbour);
    if (!learned.seen)
        return m_settings.priorSlowdown;
    const Common::Duration age = now - learned.updatedAt;
    if (age * freshShare < m_settings.halfLife)
        return learned.slowdown;
    const double halfLives = std::chrono::duration<double>(age) / m_settings.halfLife;
    const double weight = std::exp2(-halfLives);
    return learned.slowdown * weight + m_settings.priorSlowdown * (1 - weight);
}

double InterferenceModel::slowdownOf(ClassIndex added, const std::vector<ClassIndex>& running, MonotonicTime now) const
{
    double sum = 0;
    for (const ClassIndex neighbour : running)
        sum += slowdown(added, neighbour, now);
    return sum;
}

double InterferenceModel::slowdownBy(ClassIndex added, const std::vector<ClassIndex>& running, MonotonicTime now) const
{
    double sum = 0;
    for (const ClassIndex victim : running)
        sum += slowdown(victim, added, now);
    return sum;
}

InterferenceModel::Pairing& InterferenceModel::pairing(ClassIndex victim, ClassIndex neighbour)
{
    return m_pairings[victim][neighbour];
}

const InterferenceModel::Pairing& InterferenceModel::pairing(ClassIndex victim, ClassIndex neighbour) const
{
    return m_pairings[victim][neighbour];
}

void InterferenceModel::recordSnapshot(
    WorkerHistory& history, const Scheduler::WorkerReport& report, const ClassOf& classOf) const
{
    Snapshot snapshot { .clock = report.clock };
    std::unordered_map<Common::TaskId, Common::WorkerTime> credited;
    for (const TaskReport& task : report.tasks) {
        if (task.state != TaskState::Running)
            continue;
        const auto known = history.credited.find(task.task);
        credited[task.task] = known == history.credited.end() ? Common::WorkerTime {} : known->second;
        if (!task.throttled)
            snapshot.running.push_back({ task.task, classOf(task.task) });
    }
    history.credited = std::move(credited);
    history.snapshots.push_back(std::move(snapshot));
    if (history.snapshots.size() > m_settings.historyLength)
        history.snapshots.pop_front();
}

void InterferenceModel::correct(ClassIndex victim, ClassIndex neighbour, double by, MonotonicTime now)
{
    const double before = slowdown(victim, neighbour, now);
    Pairing& learned = pairing(victim, neighbour);
    learned.slowdown = static_cast<float>(std::max(0.0, before + by));
    learned.updatedAt = now;
    learned.seen = true;
}

void InterferenceModel::attributeSample(const Snapshot& snapshot, const TaskReport& sample, MonotonicTime now)
{
    const auto victim = std::find_if(snapshot.running.begin(), snapshot.running.end(),
        [&](const RunningTask& running) { return running.task == sample.task; });
    if (victim == snapshot.running.end() || snapshot.running.size() < 2)
        return;
    double predicted = 0;
    for (const RunningTask& running : snapshot.running) {
        if (running.task != sample.task)
            predicted += slowdown(victim->workClass, running.workClass, now);
    }
    const double error = slowdownFromSpeed(sample.speedPerMille) - predicted;
    const double neighbours = static_cast<double>(snapshot.running.size() - 1);
    const double correction = m_settings.learningRate * error / neighbours;
    for (const RunningTask& running : snapshot.running) {
        if (running.task == sample.task)
            continue;
        correct(victim->workClass, running.workClass, correction, now);
    }
    ++m_samples;
}

} // namespace Policy
