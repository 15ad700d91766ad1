// What a worker has to offer to one more task.
#pragma once

#include "Common/Resources.h"

#include <cstdint>

namespace Policy {

struct WorkerOffer {
    Common::Resources capacity;
    Common::Resources free;
    /// Processor time that other runs leave unused, in thousandths of a core.
    int64_t unusedMilliCores = 0;
    /// What its backfill runs would like to have of that.
    int64_t backfillMilliCores = 0;
    /// Pace, 0 to 1, at which the task as backfill would press no service there too far.
    double backfillPace = 1;
    /// Long-running tasks that serve users run there.
    bool serves = false;
    /// Share of them that are of the task's own image.
    double sameImage = 0;
    /// It is on the rack that holds the data, or no rack does.
    bool nearData = true;
    /// The task's last run failed or stood still there.
    bool avoided = false;
    /// Tasks of the same step there.
    uint32_t sameStep = 0;
};

} // namespace Policy
