// A worker on which this daemon may start work.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/WorkerReport.h"

#include <string>

namespace Scheduler {

struct OwnedWorker {
    Common::WorkerId worker;
    std::string address;
    /// Starts are valid until this reading of the worker's clock; renewed by each sync.
    Common::WorkerTime startBy;
    /// Listed or reported as leaving: nothing new goes there.
    bool leaving = false;
    WorkerReport report;
};

} // namespace Scheduler
