// The phases of a job, as its caller sees them.
#pragma once

#include <optional>
#include <string_view>

namespace Jobs {

/// The final phases come last; isFinal() depends on the order.
enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// The public name, in lower case ("completed").
std::string_view phaseName(JobPhase);
/// The inverse of phaseName(); nothing for an unknown name.
std::optional<JobPhase> phaseFromName(std::string_view);
/// Whether the job has ended: none of its tasks starts any more.
inline bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

} // namespace Jobs
