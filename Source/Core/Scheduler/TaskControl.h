// What an owner can tell a running task.
#pragma once

namespace Scheduler {

enum class TaskControl {
    Checkpoint,
    Throttle,
    Unthrottle,
    Stop,
};

} // namespace Scheduler
