// Names of obstacles to starts.
#include "Policy/StartObstacle.h"

#include <array>

namespace Policy {

std::string_view startObstacleName(StartObstacle obstacle)
{
    constexpr std::array<std::string_view, startObstacles> names { "unavailable", "unrecorded", "refused", "ineligible",
        "ejected", "quarantine", "tasks-of-step", "processor", "memory", "accelerators", "slots", "pace",
        "other-backfill" };
    return names.at(static_cast<size_t>(obstacle));
}

} // namespace Policy
