// Names of priorities.
#include "Scheduler/Priority.h"

namespace Scheduler {

std::string_view priorityName(Priority priority)
{
    switch (priority) {
    case Priority::Low:
        return "low";
    case Priority::Normal:
        return "normal";
    case Priority::High:
        return "high";
    case Priority::Urgent:
        return "urgent";
    }
    return "normal";
}

std::optional<Priority> priorityFromName(std::string_view name)
{
    for (const Priority priority : { Priority::Low, Priority::Normal, Priority::High, Priority::Urgent }) {
        if (priorityName(priority) == name)
            return priority;
    }
    return std::nullopt;
}

} // namespace Scheduler
