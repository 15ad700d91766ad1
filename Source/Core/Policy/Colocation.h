// The services and backfill runs of one worker, as input for the pace of backfill.
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
    /// Smoothed recent use of backfill (see SmoothedShares), the assumed cause of the reported tail latencies.
    std::vector<TailLatencyModel::BackfillShare> recentBackfill;
};

} // namespace Policy
