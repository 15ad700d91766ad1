// Public names of job phases.
#include "Jobs/JobPhase.h"

#include <algorithm>
#include <array>

namespace Jobs {

namespace {

    constexpr std::array<std::string_view, 5> names { "queued", "running", "completed", "failed", "cancelled" };

} // namespace

std::string_view phaseName(JobPhase phase) { return names.at(static_cast<size_t>(phase)); }

std::optional<JobPhase> phaseFromName(std::string_view name)
{
    const auto* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<JobPhase>(found - names.begin());
}

} // namespace Jobs
