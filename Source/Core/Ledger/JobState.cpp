// The public names of job states and attempt ends.
#include "Ledger/JobState.h"

#include "Ledger/JobAttempt.h"

#include <array>

namespace Ledger {

namespace {

    constexpr std::array<std::string_view, 8> stateNames { "queued", "starting", "running", "evicting", "finished",
        "failed", "cancelled", "unknown" };
    constexpr std::array<std::string_view, 7> endNames { "open", "finished", "failed", "evicted", "cancelled",
        "not-started", "lost" };

} // namespace

std::string_view jobStateName(JobState state) { return stateNames.at(static_cast<size_t>(state)); }

std::optional<JobState> jobStateFromName(std::string_view name)
{
    for (size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames.at(index) == name)
            return static_cast<JobState>(index);
    }
    return std::nullopt;
}

bool isEnded(JobState state) { return state >= JobState::Finished; }

std::string_view attemptEndName(AttemptEnd end) { return endNames.at(static_cast<size_t>(end)); }

std::optional<AttemptEnd> attemptEndFromName(std::string_view name)
{
    for (size_t index = 0; index < endNames.size(); ++index) {
        if (endNames.at(index) == name)
            return static_cast<AttemptEnd>(index);
    }
    return std::nullopt;
}

} // namespace Ledger
