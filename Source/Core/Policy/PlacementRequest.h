// A task that needs a worker, as input for Placement.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Policy/WorkClass.h"
#include "Scheduler/Priority.h"
#include "Scheduler/TaskKind.h"

#include <vector>

namespace Policy {

struct PlacementRequest {
    Common::Resources declared;
    Scheduler::TaskKind kind = Scheduler::TaskKind::Batch;
    WorkClass workClass;
    Scheduler::Priority priority = Scheduler::Priority::Normal;
    /// Workers that are chosen only when no other worker fits.
    std::vector<Common::WorkerId> avoid;
};

} // namespace Policy
