// The states of a job as its submitter sees them.
#pragma once

#include <optional>
#include <string_view>

namespace Ledger {

/// The final states are stored as numbers and keep their order.
enum class JobState {
    Queued,
    Starting,
    Running,
    Evicting,
    Finished,
    Failed,
    Cancelled,
    /// An at-most-once job that may have run; it never runs again.
    Unknown,
};

std::string_view jobStateName(JobState);
std::optional<JobState> jobStateFromName(std::string_view);
/// True for the final states Finished, Failed, Cancelled and Unknown.
bool isEnded(JobState);

} // namespace Ledger
