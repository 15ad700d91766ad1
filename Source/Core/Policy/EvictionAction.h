// One step that relieves the pressure on a worker: a control order for one task, as EvictionPlanner decides it.
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
