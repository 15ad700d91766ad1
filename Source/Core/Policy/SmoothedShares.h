// Recent processor use of the backfill that runs beside services, averaged for TailLatencyModel.
#pragma once

#include "Common/Units.h"
#include "Policy/PacedRun.h"
#include "Policy/TailLatencyModel.h"

#include <map>
#include <string>
#include <vector>

namespace Policy {

/// Reported tail latencies rise and fall over about a second, so the backfill that is assumed to cause them is averaged
/// over the same time: the effect of a run that has just started doesn't show yet, and that of a paused run still
/// shows.
class SmoothedShares {
public:
    /// Adds the last reported use of each run, as of `now`.
    void update(const std::vector<PacedRun>&, Common::MonotonicTime now);
    /// The averaged share of each image; images with a negligible share are left out.
    std::vector<TailLatencyModel::BackfillShare> backfillShares() const;

private:
    std::map<std::string, double> m_shares;
    Common::MonotonicTime m_updatedAt;
    bool m_hasSample = false;
};

} // namespace Policy
