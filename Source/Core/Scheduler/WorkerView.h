// What the owner of a worker tells those whose tasks run there.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/TaskReport.h"

#include <vector>

namespace Scheduler {

/// Sent after each sync to each ledger shard that has tasks there. Level-triggered: a lost view is made good by the
/// next.
struct WorkerView {
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    /// No task of `boot` whose start-by is at or before this clock can start any more.
    Common::WorkerTime clock;
    /// All batch tasks of the receiving shard on this worker, ended ones until acknowledged.
    std::vector<TaskReport> tasks;
};

} // namespace Scheduler
