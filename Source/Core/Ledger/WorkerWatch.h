// What a shard has heard of a worker on which it has unresolved attempts.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <set>

namespace Ledger {

struct WorkerWatch {
    /// Jobs whose open attempt is on the worker.
    std::set<Common::JobId> jobs;
    Common::MonotonicTime lastView {};
    Common::MonotonicTime lastAsked {};
};

} // namespace Ledger
