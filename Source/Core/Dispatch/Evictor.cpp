// Finds the eviction candidates of a worker and carries out the planned actions.
#include "Dispatch/Evictor.h"

#include "Common/Metrics.h"
#include "Dispatch/TaskLauncherService.h"
#include "Policy/Placement.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/WorkerPort.h"

namespace Dispatch {

namespace {

    prometheus::Counter& actionCounter(Common::Metrics& metrics, const char* action)
    {
        return metrics.counter(
            "lavendercart_eviction_actions_total", "Steps to relieve workers", { { "action", action } });
    }

} // namespace

Evictor::Evictor(const Scheduler::ServiceContext& context, Scheduler::ConfigView& config, Scheduler::WorkerFleet& fleet,
    Scheduler::WorkerPort& workers, TaskLauncherService& tasks, const Policy::Placement& placement,
    Policy::EvictionPlanner::Settings settings)
    : m_context(context)
    , m_config(config)
    , m_fleet(fleet)
    , m_workers(workers)
    , m_tasks(tasks)
    , m_placement(placement)
    , m_planner(settings)
    , m_throttles(actionCounter(context.metrics, "throttle"))
    , m_checkpoints(actionCounter(context.metrics, "checkpoint"))
    , m_stops(actionCounter(context.metrics, "stop"))
{
}

void Evictor::start()
{
    m_fleet.onChange(m_lifetime.guard([this](Scheduler::WorkerFleet::Change change,
                                          const Scheduler::OwnedWorker& worker) { onFleetChange(change, worker); }));
}

void Evictor::onFleetChange(Scheduler::WorkerFleet::Change change, const Scheduler::OwnedWorker& worker)
{
    if (change == Scheduler::WorkerFleet::Change::Lost) {
        m_planner.forget(worker.worker);
        return;
    }
    const auto lookup = [this](const Scheduler::TaskReport& task) { return candidateFor(task); };
    if (const auto action
        = m_planner.plan(worker.report, lookup, m_context.runtime.now(), m_placement.requestSpeed(worker.worker)))
        carryOut(*action, worker.address);
}

Policy::EvictionCandidate Evictor::candidateFor(const Scheduler::TaskReport& task) const
{
    Policy::EvictionCandidate candidate;
    candidate.harm = m_placement.harmOf(task.task, m_context.runtime.now());
    const TaskLauncherService::PlacedTask* const placed = m_tasks.placed(task.task);
    const auto config = m_config.current();
    if (!placed || !config)
        return candidate;
    candidate.startedAt = placed->reservedAt;
    const auto profile = config->profiles.find(placed->spec.profile);
    if (profile == config->profiles.end())
        return candidate;
    // Work that runs at most once can't be resumed.
    candidate.evictable = profile->second.evictable && profile->second.idempotent;
    candidate.priority = profile->second.priority;
    candidate.minimumRunTime = profile->second.minimumRunTime;
    return candidate;
}

void Evictor::carryOut(const Policy::EvictionAction& action, const std::string& address)
{
    switch (action.control) {
    case Scheduler::TaskControl::Stop:
        m_stops.Increment();
        m_tasks.requestEviction(action.task);
        return;
    case Scheduler::TaskControl::Checkpoint:
        m_checkpoints.Increment();
        break;
    case Scheduler::TaskControl::Throttle:
    case Scheduler::TaskControl::Unthrottle:
        m_throttles.Increment();
        break;
    }
    m_workers.control(address, action.control, { action.task }, [](const auto&) {});
}

} // namespace Dispatch
