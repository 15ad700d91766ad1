// Plans and carries out evictions on the owned workers at each of their reports.
#pragma once

#include "Common/Lifetime.h"
#include "Policy/EvictionCandidate.h"
#include "Policy/EvictionPlanner.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/WorkerFleet.h"

namespace prometheus { // NOLINT: the name that the library has
class Counter;
}

namespace Policy {
class Placement;
}

namespace Scheduler {
class ConfigView;
class WorkerPort;
struct TaskReport;
}

namespace Dispatch {

class TaskLauncherService;

/// Throttles and checkpoints tasks by calls to the worker. A stop goes through the owner of the task's ledger shard, so
/// that the work is resumed exactly once.
class Evictor {
public:
    Evictor(const Scheduler::ServiceContext&, Scheduler::ConfigView&, Scheduler::WorkerFleet&, Scheduler::WorkerPort&,
        TaskLauncherService&, const Policy::Placement&, Policy::EvictionPlanner::Settings);

    void start();

private:
    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    Policy::EvictionCandidate candidateFor(const Scheduler::TaskReport&) const;
    void carryOut(const Policy::EvictionAction&, const std::string& address);

    Scheduler::ServiceContext m_context;
    Scheduler::ConfigView& m_config;
    Scheduler::WorkerFleet& m_fleet;
    Scheduler::WorkerPort& m_workers;
    TaskLauncherService& m_tasks;
    const Policy::Placement& m_placement;
    Policy::EvictionPlanner m_planner;
    prometheus::Counter& m_throttles;
    prometheus::Counter& m_checkpoints;
    prometheus::Counter& m_stops;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
