// What a watch on the store yields.
#pragma once

#include "Scheduler/StoreValue.h"

#include <string>
#include <vector>

namespace Scheduler {

struct StoreChanges {
    /// The store's revision up to which changes were considered; pass it to the next watch.
    Common::StoreRevision upTo;
    std::vector<StoreValue> written;
    std::vector<std::string> removed;
};

} // namespace Scheduler
