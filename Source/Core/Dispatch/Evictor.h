// Carries out what the eviction planner decides for the owned workers.
#pragma once

#include "Common/Lifetime.h"
#include "Policy/EvictionCandidate.h"
#include "Policy/EvictionPlanner.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/WorkerFleet.h"

namespace prometheus {
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

class TaskPlaneService;

/// Throttles and checkpoints directly; a stop goes through the job's ledger, so that the work resumes once.
class Evictor {
public:
    Evictor(const Scheduler::ServiceContext&, Scheduler::ConfigView&, Scheduler::WorkerFleet&, Scheduler::WorkerPort&,
        TaskPlaneService&, const Policy::Placement&, Policy::EvictionPlanner::Settings);

    void start();

private:
    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    Policy::EvictionCandidate candidateFor(const Scheduler::TaskReport&) const;
    void carryOut(const Policy::EvictionAction&, const std::string& address);

    Scheduler::ServiceContext m_context;
    Scheduler::ConfigView& m_config;
    Scheduler::WorkerFleet& m_fleet;
    Scheduler::WorkerPort& m_workers;
    TaskPlaneService& m_tasks;
    const Policy::Placement& m_placement;
    Policy::EvictionPlanner m_planner;
    prometheus::Counter& m_throttles;
    prometheus::Counter& m_checkpoints;
    prometheus::Counter& m_stops;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
