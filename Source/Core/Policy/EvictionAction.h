// One step to relieve a worker.
#pragma once

#include "Common/Ids.h"
#include "Scheduler/TaskControl.h"

namespace Policy {

struct EvictionAction {
    Common::WorkerId worker;
    Common::TaskId task;
    Scheduler::TaskControl control = Scheduler::TaskControl::Throttle;
};

} // namespace Policy
