// Names of task states.
#include "Scheduler/TaskState.h"

namespace Scheduler {

std::string_view taskStateName(TaskState state)
{
    switch (state) {
    case TaskState::Running:
        return "running";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Stopped:
        return "stopped";
    }
    return "unknown";
}

std::optional<TaskState> taskStateFromName(std::string_view name)
{
    for (const TaskState state : { TaskState::Running, TaskState::Finished, TaskState::Failed, TaskState::Stopped }) {
        if (taskStateName(state) == name)
            return state;
    }
    return std::nullopt;
}

} // namespace Scheduler
