// A key of the platform's store with its value.
#pragma once

#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct StoreValue {
    std::string key;
    std::string value;
    /// Revision of the last write to the key.
    Common::StoreRevision revision;
};

} // namespace Scheduler
