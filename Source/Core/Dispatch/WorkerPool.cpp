// Placement of tasks on the owned workers, and the bookkeeping of their room.
#include "Dispatch/WorkerPool.h"

#include "Policy/Placement.h"
#include "Policy/PlacementRequest.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/WorkerPort.h"

#include <algorithm>

namespace Dispatch {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using Scheduler::WorkerFleet;

namespace {

    constexpr int placementTries = 4;
    /// Stops are batched for this time, so that many cancellations at once cost one call per worker.
    constexpr Common::Duration stopBatchDelay = std::chrono::milliseconds(10);
    constexpr Common::Duration noWorkerRetryAfter = std::chrono::milliseconds(500);

} // namespace

WorkerPool::WorkerPool(const Scheduler::ServiceContext& context, WorkerFleet& fleet, Scheduler::WorkerPort& workers,
    Policy::Placement& placement, Policy::WorkerHealth& health)
    : m_context(context)
    , m_fleet(fleet)
    , m_workers(workers)
    , m_placement(placement)
    , m_health(health)
{
}

void WorkerPool::start()
{
    m_fleet.onChange(m_lifetime.guard(
        [this](WorkerFleet::Change change, const Scheduler::OwnedWorker& worker) { onFleetChange(change, worker); }));
}

void WorkerPool::onCapacityAvailable(std::function<void()> listener)
{
    m_capacityListeners.push_back(std::move(listener));
}

void WorkerPool::onLost(std::function<void(const Common::WorkerId&)> listener)
{
    m_lostListeners.push_back(std::move(listener));
}

Result<TaskPlacement> WorkerPool::place(const Common::TaskId& task, const Policy::PlacementRequest& request)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    for (int i = 0; i < placementTries; ++i) {
        const auto worker = m_placement.choose(request, now, m_context.runtime.random());
        if (!worker)
            break;
        const auto ownedWorker = m_fleet.ownedWorker(*worker);
        if (!ownedWorker) {
            suspendPlacement(*worker);
            continue;
        }
        if (!m_placement.commit(*worker, task, request, now))
            continue;
        m_health.recordStart(*worker, now);
        m_open[task] = OpenTask { *worker, ownedWorker->report.boot, ownedWorker->startBy };
        m_openByWorker[*worker].insert(task);
        return TaskPlacement { *worker, ownedWorker->address, ownedWorker->report.boot, ownedWorker->startBy };
    }
    return Failure { ErrorCode::NoWorker, "no worker of this daemon has room", noWorkerRetryAfter };
}

Result<TaskPlacement> WorkerPool::confirm(const Common::TaskId& task) const
{
    const auto open = m_open.find(task);
    if (open == m_open.end())
        return Failure { ErrorCode::NoAuthority, "the task has no room on a worker" };
    const auto ownedWorker = m_fleet.ownedWorker(open->second.worker);
    if (!ownedWorker || ownedWorker->report.boot != open->second.boot)
        return Failure { ErrorCode::NoAuthority, "the worker is not owned by this daemon now" };
    return TaskPlacement { open->second.worker, ownedWorker->address, open->second.boot, open->second.startBy };
}

void WorkerPool::recordEnd(const Common::TaskId& task)
{
    m_placement.release(task);
    markEnded(task);
}

void WorkerPool::recordAnswer(const Common::TaskId& task, Common::Duration runTime)
{
    m_placement.finish(task, runTime, m_context.runtime.now());
    markEnded(task);
}

void WorkerPool::suspendPlacement(const Common::WorkerId& worker)
{
    m_health.markSilent(worker);
    const auto report = m_lastReport.find(worker);
    if (report != m_lastReport.end())
        m_placement.upsert(report->second, true, m_context.runtime.now());
}

void WorkerPool::markEnded(const Common::TaskId& task)
{
    const auto open = m_open.find(task);
    if (open == m_open.end())
        return;
    m_endedSinceReport[open->second.worker].insert(task);
    removeOpenTask(task);
}

void WorkerPool::abandon(const Common::TaskId& task)
{
    const auto open = m_open.find(task);
    if (open == m_open.end())
        return;
    open->second.abandoned = true;
    open->second.outcomeUnknown = true;
    queueStop(open->second.worker, task);
}

void WorkerPool::keepUntilReported(const Common::TaskId& task)
{
    const auto open = m_open.find(task);
    if (open != m_open.end())
        open->second.outcomeUnknown = true;
}

void WorkerPool::onFleetChange(WorkerFleet::Change change, const Scheduler::OwnedWorker& worker)
{
    if (change == WorkerFleet::Change::Lost) {
        dropWorker(worker.worker);
        for (const auto& listener : m_lostListeners)
            listener(worker.worker);
        return;
    }
    if (change == WorkerFleet::Change::Owned)
        m_health.add(worker.worker);
    m_health.markReachable(worker.worker);
    applyReport(worker);
    for (const auto& listener : m_capacityListeners)
        listener();
}

void WorkerPool::applyReport(const Scheduler::OwnedWorker& worker)
{
    settleOpenTasks(worker.report);
    Scheduler::WorkerReport& report = m_lastReport[worker.worker];
    report = withoutEnded(worker.report);
    m_placement.upsert(report, worker.leaving, m_context.runtime.now());
}

Scheduler::WorkerReport WorkerPool::withoutEnded(const Scheduler::WorkerReport& report)
{
    Scheduler::WorkerReport kept = report;
    const auto ended = m_endedSinceReport.find(report.worker);
    if (ended == m_endedSinceReport.end())
        return kept;
    std::unordered_set<Common::TaskId> stillListed;
    std::erase_if(kept.tasks, [&](const Scheduler::TaskReport& row) {
        if (!ended->second.contains(row.task))
            return false;
        // A report that was in flight when the task ended may list it as running. The report after it is trusted, since
        // a late or repeated release may have freed the room of a task that still runs.
        if (row.state != Scheduler::TaskState::Running)
            stillListed.insert(row.task);
        return true;
    });
    if (stillListed.empty())
        m_endedSinceReport.erase(ended);
    else
        ended->second = std::move(stillListed);
    return kept;
}

void WorkerPool::dropWorker(const Common::WorkerId& worker)
{
    m_placement.remove(worker);
    m_health.remove(worker);
    m_lastReport.erase(worker);
    m_endedSinceReport.erase(worker);
    const auto onWorker = m_openByWorker.find(worker);
    if (onWorker == m_openByWorker.end())
        return;
    const std::vector<Common::TaskId> tasks(onWorker->second.begin(), onWorker->second.end());
    for (const Common::TaskId& task : tasks) {
        if (m_open.at(task).outcomeUnknown)
            removeOpenTask(task);
    }
}

void WorkerPool::settleOpenTasks(const Scheduler::WorkerReport& report)
{
    const auto onWorker = m_openByWorker.find(report.worker);
    if (onWorker == m_openByWorker.end())
        return;
    const std::vector<Common::TaskId> tasks(onWorker->second.begin(), onWorker->second.end());
    for (const Common::TaskId& task : tasks) {
        const OpenTask& open = m_open.at(task);
        const auto listed = std::find_if(report.tasks.begin(), report.tasks.end(),
            [&](const Scheduler::TaskReport& row) { return row.task == task; });
        const bool sameBoot = open.boot == report.boot;
        const bool running = sameBoot && listed != report.tasks.end() && listed->state == Scheduler::TaskState::Running;
        const bool mayYetStart = sameBoot && listed == report.tasks.end() && report.clock < open.startBy;
        // The service that waits for the answer reports the end.
        if (!open.outcomeUnknown && sameBoot)
            continue;
        if (running && open.abandoned)
            queueStop(report.worker, task);
        if (!running && !mayYetStart)
            recordEnd(task);
    }
}

void WorkerPool::queueStop(const Common::WorkerId& worker, const Common::TaskId& task)
{
    m_stops[worker].push_back(task);
    if (m_stopsScheduled)
        return;
    m_stopsScheduled = true;
    m_context.runtime.schedule(stopBatchDelay, m_lifetime.guard([this] { sendStops(); }));
}

void WorkerPool::sendStops()
{
    m_stopsScheduled = false;
    const auto stops = std::move(m_stops);
    m_stops.clear();
    for (const auto& [worker, tasks] : stops) {
        if (const auto address = m_fleet.addressOf(worker))
            m_workers.control(*address, Scheduler::TaskControl::Stop, tasks, [](const auto&) {});
    }
}

void WorkerPool::removeOpenTask(const Common::TaskId& task)
{
    const auto open = m_open.find(task);
    if (open == m_open.end())
        return;
    const auto onWorker = m_openByWorker.find(open->second.worker);
    onWorker->second.erase(task);
    if (onWorker->second.empty())
        m_openByWorker.erase(onWorker);
    m_open.erase(open);
}

} // namespace Dispatch
