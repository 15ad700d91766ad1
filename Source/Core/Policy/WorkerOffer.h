// The room that a worker offers to one more task, as input for chooseWorker.
#pragma once

#include "Common/Resources.h"

#include <cstdint>

namespace Policy {

struct WorkerOffer {
    Common::Resources capacity;
    Common::Resources free;
    /// Processor time that other runs leave unused, in thousandths of a core.
    int64_t unusedMilliCores = 0;
    /// What its backfill runs could use of that.
    int64_t backfillMilliCores = 0;
    /// Pace, 0 to 1, at which the task as backfill would keep every service there within its limit.
    double backfillPace = 1;
    /// Long-running tasks that serve users run there.
    bool serves = false;
    /// Share of those tasks that have the same image as this task, 0 to 1.
    double sameImage = 0;
    /// The worker is on the rack that holds the data, or no rack is preferred.
    bool nearData = true;
    /// The task's last run failed or made no progress there.
    bool avoided = false;
    /// Number of tasks of the same step on the worker.
    uint32_t sameStep = 0;
};

} // namespace Policy
