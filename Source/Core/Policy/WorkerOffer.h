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
    /// Worst tail latency over its target among the runs that serve there; 0 when none does.
    double tailRatio = 0;
    /// Long-running tasks that serve users run there.
    bool serves = false;
    /// The backfill runs there are slowed down on purpose.
    bool paced = false;
    /// It is on the rack that holds the data, or no rack does.
    bool nearData = true;
    /// The task's last run failed or stood still there.
    bool avoided = false;
    /// Tasks of the same step there.
    uint32_t sameStep = 0;
};

} // namespace Policy
