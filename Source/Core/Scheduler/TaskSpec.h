// Specification of a batch task to place and start.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <string>
#include <vector>

namespace Scheduler {

struct TaskSpec {
    Common::TaskId task;
    Common::JobId job;
    Common::TeamName team;
    Common::ProfileName profile;
    /// Resources to reserve for the task.
    Common::Resources declared;
    /// Checkpoint to resume from; empty: start from the beginning.
    std::string checkpoint;
    /// What to run, opaque to the scheduler.
    std::string command;
    bool urgent = false;
    /// Workers on which the job failed before; used only if the task fits on no other.
    std::vector<Common::WorkerId> avoid;
};

} // namespace Scheduler
