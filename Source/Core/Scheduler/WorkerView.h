// The tasks on a worker, as its owner reports them to the ledger shards that the tasks belong to.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/TaskReport.h"

#include <vector>

namespace Scheduler {

/// Sent after each sync to each ledger shard that has tasks on the worker. Each view is complete, so that a lost one is
/// replaced by the next.
struct WorkerView {
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    /// Tasks of `boot` whose startBy is at or before this reading can no longer start.
    Common::WorkerTime clock;
    /// All batch tasks of the receiving shard on this worker; ended ones stay listed until acknowledged.
    std::vector<TaskReport> tasks;
};

} // namespace Scheduler
