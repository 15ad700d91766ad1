// Places tasks on the owned workers: combines the fleet's authority to start work with the resources in use on each.
// Used for requests and for batch tasks.
#pragma once

#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Dispatch/TaskPlacement.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/WorkerFleet.h"

#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Policy {
class Placement;
class WorkerHealth;
struct PlacementRequest;
}

namespace Scheduler {
class WorkerPort;
}

namespace Dispatch {

/// Invariant: a task keeps its room until it is known to have ended or not to have started. A task whose start has an
/// unknown outcome keeps its room until a report of the worker shows what became of it.
class WorkerPool {
public:
    WorkerPool(const Scheduler::ServiceContext&, Scheduler::WorkerFleet&, Scheduler::WorkerPort&, Policy::Placement&,
        Policy::WorkerHealth&);

    void start();

    /// Allocates room for the task on a worker that this daemon may start work on now. Fails with NoWorker.
    Common::Result<TaskPlacement> place(const Common::TaskId&, const Policy::PlacementRequest&);
    /// The placement of a task that has room, if this daemon may still start it there. Fails with NoAuthority.
    Common::Result<TaskPlacement> confirm(const Common::TaskId&) const;
    /// Frees the room of a task that has ended or provably did not start.
    void recordEnd(const Common::TaskId&);
    /// Frees the room of an answered request. Its run time updates the model of how tasks on one worker slow each
    /// other.
    void recordAnswer(const Common::TaskId&, Common::Duration runTime);
    /// Stops a task whose answer is no longer awaited and that may run; keeps its room until a report shows that it
    /// ended.
    void abandon(const Common::TaskId&);
    /// Keeps the room of a batch task, whose start may have an unknown outcome, until a report shows what became of it.
    void keepUntilReported(const Common::TaskId&);
    /// Registers a listener that is called whenever there may be more room than before.
    void onCapacityAvailable(std::function<void()>);
    /// Registers a listener that is called when this daemon has lost ownership of a worker.
    void onLost(std::function<void(const Common::WorkerId&)>);

private:
    /// A task that this daemon started or may have started.
    struct OpenTask {
        Common::WorkerId worker;
        Common::WorkerBootId boot;
        Common::WorkerTime startBy;
        bool abandoned = false;
        /// Only a report of the worker shows whether the task runs or has ended.
        bool outcomeUnknown = false;
    };

    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    void applyReport(const Scheduler::OwnedWorker&);
    /// Returns the report without the tasks that are known to have ended since it was made.
    Scheduler::WorkerReport withoutEnded(const Scheduler::WorkerReport&);
    void dropWorker(const Common::WorkerId&);
    /// Syncs with the worker fail: places no tasks on it until its next report.
    void suspendPlacement(const Common::WorkerId&);
    void markEnded(const Common::TaskId&);
    void settleOpenTasks(const Scheduler::WorkerReport&);
    void queueStop(const Common::WorkerId&, const Common::TaskId&);
    void sendStops();
    void removeOpenTask(const Common::TaskId&);

    Scheduler::ServiceContext m_context;
    Scheduler::WorkerFleet& m_fleet;
    Scheduler::WorkerPort& m_workers;
    Policy::Placement& m_placement;
    Policy::WorkerHealth& m_health;
    std::unordered_map<Common::TaskId, OpenTask> m_open;
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_openByWorker;
    /// The last report of each owned worker, without ended tasks, as it was passed to m_placement.
    std::unordered_map<Common::WorkerId, Scheduler::WorkerReport> m_lastReport;
    /// Tasks that ended since the last report; the next report may still list them.
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_endedSinceReport;
    /// Stops to send with the next batch.
    std::unordered_map<Common::WorkerId, std::vector<Common::TaskId>> m_stops;
    bool m_stopsScheduled = false;
    std::vector<std::function<void()>> m_capacityListeners;
    std::vector<std::function<void(const Common::WorkerId&)>> m_lostListeners;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
