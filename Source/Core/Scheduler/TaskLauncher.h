// Reserves room for batch tasks, and starts and stops them, on workers of this daemon or of its peers. The ledger's job
// shards call it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Scheduler/Reservation.h"
#include "Scheduler/TaskControl.h"
#include "Scheduler/TaskSpec.h"
#include "Scheduler/WorkerView.h"

#include <functional>
#include <vector>

namespace Scheduler {

class TaskLauncher {
public:
    virtual ~TaskLauncher() = default;

    /// Reserves room for the task. Fails with NoWorker if no worker has room now, with JobFitsNoWorker if none ever
    /// will.
    virtual void reserve(const TaskSpec&, Common::Callback<Reservation>) = 0;
    /// Starts the task under the reservation. Only NotOwner, NoAuthority and failures for which provesNotRun() holds
    /// prove that it did not start.
    virtual void start(const Reservation&, const TaskSpec&, Common::Callback<Common::Done>) = 0;
    /// Cancels an unused reservation.
    virtual void release(const Reservation&) = 0;
    /// Checkpoints, throttles or stops tasks. Level-triggered: repeat until a view shows the effect.
    virtual void control(const Common::WorkerId&, TaskControl, const std::vector<Common::TaskId>&) = 0;
    /// Tells the worker through its owner that the end of these tasks is durable in the ledger, so that it stops
    /// reporting them.
    virtual void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) = 0;
    /// Requests a view of a worker from its current owner, for recovery. It arrives through onView().
    virtual void requestView(const Common::WorkerId&) = 0;
    /// Registers the receiver of views, one per process.
    virtual void onView(std::function<void(const WorkerView&)>) = 0;
};

} // namespace Scheduler
