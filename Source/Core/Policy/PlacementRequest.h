// What is known of a task that looks for a worker.
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
    /// Used only when no other worker fits.
    std::vector<Common::WorkerId> avoid;
};

} // namespace Policy
