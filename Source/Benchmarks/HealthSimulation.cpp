// Generates a stream of jobs, each with up to three attempts on distinct workers.
#include "HealthSimulation.h"

#include <algorithm>
#include <cmath>

namespace Benchmarks {

using namespace std::chrono_literals;
using Common::Duration;
using Common::WorkerId;

namespace {

    constexpr Common::Resources capacity { .slots = 8, .milliCores = 16000, .memoryMegabytes = 60000 };
    constexpr Common::Resources declared { .slots = 1, .milliCores = 2000, .memoryMegabytes = 4000 };
    constexpr Duration length = 180s;
    constexpr double meanRunSeconds = 2;
    constexpr double poisonSeconds = 0.2;
    constexpr double badWorkerSeconds = 0.005;
    constexpr double load = 0.6;
    constexpr uint32_t maximumAttempts = 3;
    constexpr int failuresToEject = 5;
    constexpr Duration plainEjection = 30s;
    constexpr Duration placementRetryInterval = 20ms;

    WorkerId idOf(size_t index) { return WorkerId("w" + std::to_string(index)); }

} // namespace

HealthSimulation::HealthSimulation(Setup setup)
    : m_setup(setup)
    , m_runtime(setup.seed)
    , m_placement({}, m_interference, m_health)
{
    for (size_t i = 0; i < setup.workers; ++i) {
        Scheduler::WorkerReport report { .worker = idOf(i), .capacity = capacity };
        report.rack = Common::RackId("rack" + std::to_string(i / 8));
        m_placement.upsert(report, false, m_runtime.now());
        m_bad[idOf(i)] = i < setup.badWorkers;
    }
}

HealthSimulation::Figures HealthSimulation::run()
{
    arrive();
    recordEjections();
    m_runtime.advance(length + 30s);
    const double recovered = static_cast<double>(m_setup.badWorkers) / static_cast<double>(m_setup.workers);
    if (m_late > 0 && recovered > 0)
        m_figures.lateShareOfRecovered = m_lateOnRecovered / m_late / recovered;
    return m_figures;
}

double HealthSimulation::seconds() const
{
    return std::chrono::duration<double>(m_runtime.now().time_since_epoch()).count();
}

Duration HealthSimulation::drawDuration(double meanSeconds)
{
    const double value = std::exponential_distribution<double>(1 / meanSeconds)(m_runtime.random());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

bool HealthSimulation::isBad(const WorkerId& worker) const
{
    const bool recovered = m_setup.recoveryAt > 0s && m_runtime.now().time_since_epoch() >= m_setup.recoveryAt;
    return !recovered && m_bad.at(worker);
}

void HealthSimulation::arrive()
{
    if (m_runtime.now().time_since_epoch() >= length)
        return;
    Job job { .id = Common::JobId("job" + std::to_string(++m_lastJob)) };
    job.poison = m_runtime.random()() % 100 < m_setup.poisonPercent;
    (job.poison ? m_figures.poisonJobs : m_figures.goodJobs) += 1;
    place(std::move(job), false);
    const double slots = static_cast<double>(m_setup.workers) * capacity.slots;
    m_runtime.schedule(drawDuration(meanRunSeconds / (slots * load)), [this] { arrive(); });
}

bool HealthSimulation::place(Job job, bool fromQueue)
{
    const Policy::PlacementRequest request {
        .declared = declared, .workClass = Policy::WorkClass("jobs"), .avoid = job.failedOn
    };
    const auto worker = m_waiting.empty() || fromQueue
        ? m_placement.choose(request, m_runtime.now(), m_runtime.random())
        : std::nullopt;
    if (!worker) {
        if (m_waiting.empty() && !fromQueue)
            m_runtime.schedule(placementRetryInterval, [this] { placeWaiting(); });
        fromQueue ? m_waiting.push_front(std::move(job)) : m_waiting.push_back(std::move(job));
        return false;
    }
    ++job.attempts;
    const Common::TaskId task(job.id.value() + "#" + std::to_string(job.attempts));
    m_placement.commit(*worker, task, request, m_runtime.now());
    m_figures.starts += 1;
    m_figures.startsOnBad += isBad(*worker) ? 1 : 0;
    m_figures.poisonAttempts += job.poison ? 1 : 0;
    if (m_runtime.now().time_since_epoch() >= length * 2 / 3) {
        m_late += 1;
        m_lateOnRecovered += m_bad.at(*worker) ? 1 : 0;
    }
    const bool bad = isBad(*worker);
    const Duration runs
        = bad ? drawDuration(badWorkerSeconds) : drawDuration(job.poison ? poisonSeconds : meanRunSeconds);
    m_runtime.schedule(runs, [this, job, worker, task, bad] { onAttemptEnd(job, *worker, task, !bad && !job.poison); });
    return true;
}

void HealthSimulation::placeWaiting()
{
    while (!m_waiting.empty()) {
        Job first = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!place(std::move(first), true))
            break;
    }
    if (!m_waiting.empty())
        m_runtime.schedule(placementRetryInterval, [this] { placeWaiting(); });
}

void HealthSimulation::onAttemptEnd(const Job& job, const WorkerId& worker, const Common::TaskId& task, bool ok)
{
    m_placement.release(task);
    applyRule(worker, job, ok);
    if (ok) {
        m_figures.goodFinished += 1;
        return;
    }
    Job again = job;
    again.failedOn.push_back(worker);
    const bool givenUp = again.attempts >= maximumAttempts;
    if (givenUp && !job.poison)
        m_figures.goodGivenUp += 1;
    if (!givenUp)
        place(std::move(again), false);
}

void HealthSimulation::applyRule(const WorkerId& worker, const Job& job, bool ok)
{
    if (m_setup.rule == Rule::Health) {
        m_health.recordOutcome(worker, job.id.value(), ok, m_runtime.now());
        return;
    }
    if (m_setup.rule == Rule::None)
        return;
    int& failures = m_failuresInARow[worker];
    failures = ok ? 0 : failures + 1;
    if (failures < failuresToEject)
        return;
    failures = 0;
    m_health.markSilent(worker);
    m_runtime.schedule(plainEjection, [this, worker] { m_health.markReachable(worker); });
}

void HealthSimulation::recordEjections()
{
    double ejected = 0;
    for (size_t i = 0; i < m_setup.workers; ++i) {
        if (m_health.admits(idOf(i), m_runtime.now()))
            continue;
        ejected += 1;
        if (!m_bad.at(idOf(i)))
            m_figures.goodWorkerSecondsEjected += 1;
    }
    m_figures.mostEjected = std::max(m_figures.mostEjected, ejected);
    if (m_runtime.now().time_since_epoch() < length)
        m_runtime.schedule(1s, [this] { recordEjections(); });
}

} // namespace Benchmarks
