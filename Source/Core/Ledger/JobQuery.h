// The filter of a job listing.
#pragma once

#include "Common/Ids.h"
#include "Ledger/JobState.h"

#include <cstdint>
#include <optional>

namespace Ledger {

/// An empty team or state matches all jobs.
struct JobQuery {
    Common::TeamName team;
    std::optional<JobState> state;
    /// Maximum number of jobs returned.
    uint32_t limit = 100;
};

} // namespace Ledger
