// Which jobs to list.
#pragma once

#include "Common/Ids.h"
#include "Ledger/JobState.h"

#include <cstdint>
#include <optional>

namespace Ledger {

/// Empty members match everything.
struct JobQuery {
    Common::TeamName team;
    std::optional<JobState> state;
    uint32_t limit = 100;
};

} // namespace Ledger
