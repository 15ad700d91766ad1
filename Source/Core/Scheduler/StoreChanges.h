// The result of StorePort::watch().
#pragma once

#include "Scheduler/StoreValue.h"

#include <string>
#include <vector>

namespace Scheduler {

struct StoreChanges {
    /// Store revision up to which changes are included; the next watch continues from it.
    Common::StoreRevision upTo;
    std::vector<StoreValue> written;
    std::vector<std::string> removed;
};

} // namespace Scheduler
