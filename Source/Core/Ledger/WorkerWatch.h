// The views that a shard got of a worker on which it has unresolved attempts.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <set>

namespace Ledger {

struct WorkerWatch {
    /// Jobs whose open attempt is on the worker.
    std::set<Common::JobId> jobs;
    /// Arrival of the last view, and time of the last request for one; the default value means never.
    Common::MonotonicTime lastView {};
    Common::MonotonicTime lastRequested {};
};

} // namespace Ledger
