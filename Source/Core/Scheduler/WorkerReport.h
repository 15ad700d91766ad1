// A worker's answer to a sync: its clock, capacity, claims and tasks.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Scheduler/TaskReport.h"
#include "Scheduler/WorkerClaim.h"

#include <vector>

namespace Scheduler {

/// Claims, clock and task list are current as of when the worker handled the sync; resource usage lags behind.
struct WorkerReport {
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime clock;
    Common::RackId rack;
    Common::Resources capacity;
    /// The worker is about to leave; no new work is placed on it.
    bool leaving = false;
    std::vector<WorkerClaim> claims;
    std::vector<TaskReport> tasks;
};

} // namespace Scheduler
