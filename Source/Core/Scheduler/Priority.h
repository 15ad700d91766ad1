// Scheduling priority of a profile's work.
#pragma once

#include <optional>
#include <string_view>

namespace Scheduler {

/// Higher values are scheduled first.
enum class Priority {
    Low,
    Normal,
    High,
    Urgent,
};

/// The name used in the configuration, in lower case ("urgent").
std::string_view priorityName(Priority);
/// The inverse of priorityName(); nothing for an unknown name.
std::optional<Priority> priorityFromName(std::string_view);

} // namespace Scheduler
