// Generates previews and jobs, delivers worker reports late and applies relief.
#include "ColocationSimulation.h"

#include "Verdict.h"

#include <cmath>

namespace Benchmarks {

using namespace std::chrono_literals;
using Common::Duration;
using Common::MonotonicTime;
using Common::TaskId;
using Kind = SimulatedCluster::Kind;

namespace {

    constexpr Duration warmUp = 60s;
    constexpr Duration length = 180s;
    /// Age of the samples in worker reports.
    constexpr Duration reportLag = 600ms;
    constexpr Duration roundTrip = 2ms;
    constexpr Duration placementRetryInterval = 10ms;
    constexpr double previewSeconds = 0.1;
    constexpr double jobSeconds = 25;
    /// Share of the slots that each kind of work would use if it ran alone.
    constexpr double previewLoad = 0.15;
    constexpr double batchLoad = 0.5;
    constexpr size_t previewKind = 0;
    constexpr size_t jobKinds = 4;
    constexpr int64_t slowPerMille = 700;

    /// Each row holds the slowdown that a kind suffers from one task of each kind, in the order of the rows: previews,
    /// then memory-bound, cache-bound and two calm kinds of jobs.
    std::vector<Kind> kindsOf(bool waves)
    {
        const double period = waves ? 40 : 0;
        const double noisy = waves ? 12 : 0;
        return { Kind { "preview", { 0.02, 0.8, 0.4, 0.02, 0.03 } },
            Kind { "memory-bound", { 0.02, 0.25, 0.1, 0.02, 0.02 }, period, noisy },
            Kind { "cache-bound", { 0.02, 0.15, 0.1, 0.02, 0.02 }, period, noisy },
            Kind { "calm-1", { 0.01, 0.05, 0.05, 0.01, 0.01 } }, Kind { "calm-2", { 0.01, 0.05, 0.05, 0.01, 0.01 } } };
    }

    Policy::Placement::Settings placementSettings(bool useInterference)
    {
        Policy::Placement::Settings settings;
        if (!useInterference) {
            settings.requestInterferenceWeight = 0;
            settings.batchInterferenceWeight = 0;
            settings.separationWeight = 0;
        }
        return settings;
    }

    Common::Resources sharePerSlot(const Common::Resources& capacity)
    {
        return { .slots = 1,
            .milliCores = capacity.milliCores / capacity.slots,
            .memoryMegabytes = capacity.memoryMegabytes / capacity.slots / 2 };
    }

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration durationOf(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e6)); }

} // namespace

ColocationSimulation::ColocationSimulation(const Setup& setup)
    : m_setup(setup)
    , m_runtime(setup.seed)
    , m_cluster(m_runtime, kindsOf(setup.waves), setup.workers, setup.capacity)
    , m_placement(placementSettings(setup.useInterference), m_interference, m_health)
{
    for (size_t worker = 0; worker < setup.workers; ++worker) {
        m_index[SimulatedCluster::idOf(worker)] = worker;
        m_placement.upsert(m_cluster.report(worker), false, m_runtime.now());
    }
}

ColocationSimulation::Figures ColocationSimulation::run()
{
    if (m_setup.previews)
        arrivePreview();
    if (m_setup.batch)
        arriveJob();
    reportAll();
    m_runtime.advance(length);
    m_figures.previews = static_cast<double>(m_previewTimes.size());
    m_figures.previewMedian = quantile(m_previewTimes, 0.5);
    m_figures.previewP99 = quantile(m_previewTimes, 0.99);
    return m_figures;
}

bool ColocationSimulation::isMeasuring() const { return m_runtime.now().time_since_epoch() >= warmUp; }

double ColocationSimulation::exponential(double mean)
{
    return std::exponential_distribution<double>(1 / mean)(m_runtime.random());
}

void ColocationSimulation::arrivePreview()
{
    const double work = std::lognormal_distribution<double>(std::log(previewSeconds), 0.3)(m_runtime.random());
    startPreview(m_runtime.now(), ++m_lastNumber, work);
    const double slots = static_cast<double>(m_setup.workers) * static_cast<double>(m_setup.capacity.slots);
    m_runtime.schedule(durationOf(exponential(previewSeconds / (previewLoad * slots))), [this] { arrivePreview(); });
}

void ColocationSimulation::startPreview(MonotonicTime since, uint64_t number, double work)
{
    const Policy::PlacementRequest request { .declared = sharePerSlot(m_setup.capacity),
        .kind = Scheduler::TaskKind::Request,
        .workClass = Policy::WorkClass("preview"),
        .priority = Scheduler::Priority::High };
    const auto worker = m_placement.choose(request, m_runtime.now(), m_runtime.random());
    if (!worker) {
        m_runtime.schedule(placementRetryInterval, [=, this] { startPreview(since, number, work); });
        return;
    }
    const TaskId id("p" + std::to_string(number));
    m_placement.commit(*worker, id, request, m_runtime.now());
    SimulatedCluster::Task task { .id = id, .kind = previewKind, .taskKind = Scheduler::TaskKind::Request };
    task.declared = request.declared;
    task.work = work;
    const MonotonicTime started = m_runtime.now();
    task.onFinished = [=, this](const SimulatedCluster::Task&) {
        m_placement.finish(id, m_runtime.now() - started, m_runtime.now());
        if (isMeasuring())
            m_previewTimes.push_back(secondsOf(m_runtime.now() - since + roundTrip));
    };
    m_cluster.start(m_index.at(*worker), std::move(task));
}

void ColocationSimulation::arriveJob()
{
    Job job { .kind = 1 + m_runtime.random()() % jobKinds, .number = ++m_lastNumber };
    job.work = std::lognormal_distribution<double>(std::log(jobSeconds) - 0.125, 0.5)(m_runtime.random());
    job.phase = exponential(20);
    m_waiting.push_back(job);
    startWaitingJobs();
    const double slots = static_cast<double>(m_setup.workers) * static_cast<double>(m_setup.capacity.slots);
    m_runtime.schedule(durationOf(exponential(jobSeconds / (batchLoad * slots))), [this] { arriveJob(); });
}

void ColocationSimulation::startWaitingJobs()
{
    while (!m_waiting.empty()) {
        if (!startJob(m_waiting.front()))
            return;
        m_waiting.pop_front();
    }
}

bool ColocationSimulation::startJob(Job job)
{
    const Policy::PlacementRequest request { .declared = sharePerSlot(m_setup.capacity),
        .workClass = Policy::WorkClass("jobs/" + m_cluster.kinds()[job.kind].name) };
    const auto worker = m_placement.choose(request, m_runtime.now(), m_runtime.random());
    if (!worker)
        return false;
    ++job.attempts;
    const TaskId id("j" + std::to_string(job.number) + "#" + std::to_string(job.attempts));
    m_placement.commit(*worker, id, request, m_runtime.now());
    SimulatedCluster::Task task { .id = id, .kind = job.kind, .declared = request.declared };
    task.used = request.declared;
    task.work = job.work;
    task.done = job.done;
    task.checkpointed = job.done;
    task.phase = job.phase;
    task.onFinished = [this, id](const SimulatedCluster::Task&) {
        m_placement.release(id);
        m_running.erase(id);
        m_startedAt.erase(id);
        if (isMeasuring())
            m_figures.batchFinished += 1;
        startWaitingJobs();
    };
    m_running[id] = job;
    m_startedAt[id] = m_runtime.now();
    m_cluster.start(m_index.at(*worker), std::move(task));
    return true;
}

void ColocationSimulation::reportAll()
{
    m_cluster.sample();
    m_runtime.schedule(reportLag, [this] {
        for (size_t worker = 0; worker < m_cluster.size(); ++worker) {
            const Scheduler::WorkerReport report = m_cluster.report(worker);
            m_placement.upsert(report, false, m_runtime.now());
            applyRelief(worker, report);
        }
    });
    m_runtime.schedule(1s, [this] { reportAll(); });
}

void ColocationSimulation::applyRelief(size_t worker, const Scheduler::WorkerReport& report)
{
    const std::optional<int64_t> speed = m_placement.requestSpeed(report.worker);
    if (m_setup.relief == Relief::Planner) {
        const auto lookup = [this](const Scheduler::TaskReport& task) {
            return Policy::EvictionCandidate { .startedAt = m_startedAt.at(task.task),
                .minimumRunTime = 5s,
                .harm = m_placement.harmOf(task.task, m_runtime.now()) };
        };
        if (const auto action = m_planner.plan(report, lookup, m_runtime.now(), speed))
            apply(worker, *action);
    }
    if (m_setup.relief != Relief::StopFirst || speed.value_or(slowPerMille) >= slowPerMille)
        return;
    const Scheduler::TaskReport* worst = nullptr;
    for (const Scheduler::TaskReport& task : report.tasks) {
        if (task.kind == Scheduler::TaskKind::Request)
            continue;
        if (!worst || m_placement.harmOf(task.task, m_runtime.now()) > m_placement.harmOf(worst->task, m_runtime.now()))
            worst = &task;
    }
    if (worst)
        stopJob(worker, worst->task);
}

void ColocationSimulation::apply(size_t worker, const Policy::EvictionAction& action)
{
    switch (action.control) {
    case Scheduler::TaskControl::Throttle:
    case Scheduler::TaskControl::Unthrottle:
        m_cluster.setThrottled(worker, action.task, action.control == Scheduler::TaskControl::Throttle);
        return;
    case Scheduler::TaskControl::Checkpoint:
        m_cluster.checkpoint(worker, action.task);
        return;
    case Scheduler::TaskControl::Stop:
        stopJob(worker, action.task);
        return;
    }
}

void ColocationSimulation::stopJob(size_t worker, const TaskId& id)
{
    if (!m_cluster.has(worker, id))
        return;
    const SimulatedCluster::Task stopped = m_cluster.stop(worker, id);
    m_placement.release(id);
    Job job = m_running.at(id);
    m_running.erase(id);
    m_startedAt.erase(id);
    if (isMeasuring()) {
        m_figures.workLost += stopped.done - stopped.checkpointed;
        m_figures.stops += 1;
    }
    job.done = stopped.checkpointed;
    m_waiting.push_back(job);
}

} // namespace Benchmarks
