// What backfill beside services has used lately.
#pragma once

#include "Common/Units.h"
#include "Policy/PacedRun.h"
#include "Policy/TailLatencyModel.h"

#include <map>
#include <string>
#include <vector>

namespace Policy {

/// Reported tails rise and fade over about a second, so what is held to be their cause is averaged over the same time:
/// a run that has just started or was paused hasn't shown its effect yet, or still shows it.
class SmoothedShares {
public:
    /// What each run was last seen to use, as of `now`.
    void update(const std::vector<PacedRun>&, Common::MonotonicTime now);
    std::vector<TailLatencyModel::BackfillShare> backfillShares() const;

private:
    std::map<std::string, double> m_shares;
    Common::MonotonicTime m_updatedAt;
    bool m_begun = false;
};

} // namespace Policy
