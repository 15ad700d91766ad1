// Where a job stands, as its submitter sees it.
#pragma once

#include <optional>
#include <string_view>

namespace Ledger {

enum class JobState {
    Queued,
    Starting,
    Running,
    Evicting,
    Finished,
    Failed,
    Cancelled,
    /// May have run; an at-most-once job that is never run again.
    Unknown,
};

std::string_view jobStateName(JobState);
std::optional<JobState> jobStateFromName(std::string_view);
/// Finished, failed, cancelled and unknown are for good.
bool isEnded(JobState);

} // namespace Ledger
