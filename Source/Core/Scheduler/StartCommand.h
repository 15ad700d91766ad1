// Starts a batch task on a worker.
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
    std::chrono::milliseconds leaseTimeToLive {};
    Common::Resources declared;
    /// Resume from here; empty: from the beginning.
    std::string checkpoint;
    /// What to run, opaque to the scheduler. The stand-in reads its own JSON from it.
    std::string command;
};

} // namespace Scheduler
