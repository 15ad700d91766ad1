// Where a task on a worker stands.
#pragma once

#include <optional>
#include <string_view>

namespace Scheduler {

enum class TaskState {
    Running,
    /// Ended with success; kept in reports until acknowledged.
    Finished,
    /// Ended by itself without success.
    Failed,
    /// Stopped on request or because its lease lapsed.
    Stopped,
};

std::string_view taskStateName(TaskState);
std::optional<TaskState> taskStateFromName(std::string_view);

} // namespace Scheduler
