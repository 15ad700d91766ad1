// How urgent a profile's work is.
#pragma once

#include <optional>
#include <string_view>

namespace Scheduler {

/// Higher values go first.
enum class Priority {
    Low,
    Normal,
    High,
    Urgent,
};

std::string_view priorityName(Priority);
std::optional<Priority> priorityFromName(std::string_view);

} // namespace Scheduler
