// Control actions on a running task.
#pragma once

namespace Scheduler {

enum class TaskControl {
    Checkpoint,
    Throttle,
    Unthrottle,
    Stop,
};

} // namespace Scheduler
