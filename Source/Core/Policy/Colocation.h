// What shares one worker's processor.
#pragma once

#include "Policy/PacedRun.h"
#include "Policy/PacedService.h"
#include "Policy/TailLatencyModel.h"

#include <vector>

namespace Policy {

/// The services and the backfill that share a worker.
struct Colocation {
    std::vector<PacedService> services;
    std::vector<PacedRun> runs;
    /// What backfill has used lately, see SmoothedShares: the cause of the reported tails.
    std::vector<TailLatencyModel::BackfillShare> recentBackfill;
};

} // namespace Policy
