// Where a job stands, as its caller sees it.
#pragma once

#include <optional>
#include <string_view>

namespace Jobs {

enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

std::string_view phaseName(JobPhase);
std::optional<JobPhase> phaseFromName(std::string_view);
/// Nothing of the job will start any more.
inline bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

} // namespace Jobs
