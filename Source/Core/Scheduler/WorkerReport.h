// What a worker says of itself in answer to a sync.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Scheduler/TaskReport.h"
#include "Scheduler/WorkerClaim.h"

#include <vector>

namespace Scheduler {

/// Claims, clock and task list are those of the moment at which the worker handled the sync; usage lags.
struct WorkerReport {
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime clock;
    Common::RackId rack;
    Common::Resources capacity;
    bool leaving = false;
    std::vector<WorkerClaim> claims;
    std::vector<TaskReport> tasks;
};

} // namespace Scheduler
