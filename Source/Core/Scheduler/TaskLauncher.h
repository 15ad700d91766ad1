// How jobs reach workers: places, starts and stops tasks on workers of this daemon or of its peers.
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

    /// Keeps room for the task. Fails with NoWorker when nothing has room now, JobFitsNoWorker when nothing ever will.
    virtual void reserve(const TaskSpec&, Common::Callback<Reservation>) = 0;
    /// Starts the task where room was kept. Only failures for which provesNotRun() holds, and NotOwner and
    /// NoAuthority, prove that it did not start.
    virtual void start(const Reservation&, const TaskSpec&, Common::Callback<Common::Done>) = 0;
    /// Gives the room back unused.
    virtual void release(const Reservation&) = 0;
    /// Checkpoints, throttles or stops a task. Level-triggered: repeat until a view shows the effect.
    virtual void control(const Common::WorkerId&, TaskControl, const std::vector<Common::TaskId>&) = 0;
    /// Ended tasks whose end is durable in the ledger.
    virtual void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) = 0;
    /// Asks for a view of a worker now, whoever owns it, for recovery. Views come through onView.
    virtual void requestView(const Common::WorkerId&) = 0;
    /// Registers the receiver of views; one a process.
    virtual void onView(std::function<void(const WorkerView&)>) = 0;
};

} // namespace Scheduler
