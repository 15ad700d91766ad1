// A worker that this daemon owns and may start work on.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/WorkerReport.h"

#include <string>

namespace Scheduler {

struct OwnedWorker {
    Common::WorkerId worker;
    /// "IP:port"
    std::string address;
    /// The worker rejects starts once its clock has reached this reading; extended by each sync.
    Common::WorkerTime startBy;
    /// Leaving according to the host list or its report, or no longer listed: no new work is placed on it.
    bool leaving = false;
    /// The report of the last sync.
    WorkerReport report;
};

} // namespace Scheduler
