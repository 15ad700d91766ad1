// The owned workers as places for tasks: joins the fleet's authority with the account of what each worker holds.
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

/// Invariant: room is kept for a task until it is known to have ended or not to have started. A task whose start had no
/// clear answer keeps its room until a report of the worker settles it.
class WorkerPool {
public:
    WorkerPool(const Scheduler::ServiceContext&, Scheduler::WorkerFleet&, Scheduler::WorkerPort&, Policy::Placement&,
        Policy::WorkerHealth&);

    void start();

    /// Keeps room for the task on a worker that this daemon may start work on now. Fails with NoWorker.
    Common::Result<TaskPlacement> place(const Common::TaskId&, const Policy::PlacementRequest&);
    /// The place of a task with room, if the authority to start there still holds.
    Common::Result<TaskPlacement> confirm(const Common::TaskId&) const;
    /// The task has ended, or provably did not start.
    void ended(const Common::TaskId&);
    /// The request was answered after this run time, which teaches how its neighbours slow it down.
    void answered(const Common::TaskId&, Common::Duration runTime);
    /// Nobody waits for the task any more, but it may run: stops it and keeps its room until a report settles it.
    void abandon(const Common::TaskId&);
    /// The start of a batch task had no clear answer: keeps its room until a report settles it.
    void keepUntilReported(const Common::TaskId&);
    /// Called whenever there may be more room than before.
    void onCapacityAvailable(std::function<void()>);
    /// Called when authority over a worker has ended.
    void onLost(std::function<void(const Common::WorkerId&)>);

private:
    /// A task that was started, or may have been, by this daemon.
    struct OpenTask {
        Common::WorkerId worker;
        Common::WorkerBootId boot;
        Common::WorkerTime startBy;
        bool abandoned = false;
        bool unclear = false;
    };

    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    void takeReport(const Scheduler::OwnedWorker&);
    /// Leaves out the tasks that are known to have ended since the report was made.
    Scheduler::WorkerReport withoutEnded(const Scheduler::WorkerReport&);
    void dropWorker(const Common::WorkerId&);
    /// No sync gets through: until the next report its slots are no room.
    void setAside(const Common::WorkerId&);
    void noteEnd(const Common::TaskId&);
    void settle(const Scheduler::WorkerReport&);
    void queueStop(const Common::WorkerId&, const Common::TaskId&);
    void sendStops();
    void forget(const Common::TaskId&);

    Scheduler::ServiceContext m_context;
    Scheduler::WorkerFleet& m_fleet;
    Scheduler::WorkerPort& m_workers;
    Policy::Placement& m_placement;
    Policy::WorkerHealth& m_health;
    std::unordered_map<Common::TaskId, OpenTask> m_open;
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_openByWorker;
    /// The last report of each owned worker, as it was taken into the account.
    std::unordered_map<Common::WorkerId, Scheduler::WorkerReport> m_lastReport;
    /// Tasks that ended since the last report; a report may still list them.
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_endedSinceReport;
    std::unordered_map<Common::WorkerId, std::vector<Common::TaskId>> m_stops;
    bool m_stopsScheduled = false;
    std::vector<std::function<void()>> m_capacityListeners;
    std::vector<std::function<void(const Common::WorkerId&)>> m_lostListeners;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
