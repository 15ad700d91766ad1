// The states of a task on a worker.
#pragma once

#include <optional>
#include <string_view>

namespace Scheduler {

enum class TaskState {
    Running,
    /// Ended successfully; kept in reports until acknowledged.
    Finished,
    /// Ended by itself, unsuccessfully.
    Failed,
    /// Stopped on request or because its lease expired.
    Stopped,
};

/// The name used in messages, in lower case ("running").
std::string_view taskStateName(TaskState);
/// The inverse of taskStateName(); nothing for an unknown name.
std::optional<TaskState> taskStateFromName(std::string_view);

} // namespace Scheduler
