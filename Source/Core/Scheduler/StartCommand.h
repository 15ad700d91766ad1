// Parameters of WorkerPort::start(), which starts a batch task.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <chrono>
#include <string>

namespace Scheduler {

struct StartCommand {
    Common::TaskId task;
    /// The worker refuses with WorkerRebooted if it has another boot.
    Common::WorkerBootId boot;
    /// The worker refuses with StartTooLate once its clock has reached this.
    Common::WorkerTime startBy;
    /// The worker stops the task unless its lease is renewed within this time.
    std::chrono::milliseconds leaseTimeToLive {};
    Common::Resources declared;
    /// Checkpoint to resume from; empty: start from the beginning.
    std::string checkpoint;
    /// What to run, opaque to the scheduler. The worker stand-in expects JSON of its own.
    std::string command;
};

} // namespace Scheduler
