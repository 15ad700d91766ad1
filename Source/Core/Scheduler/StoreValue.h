// A key-value pair of the platform's store.
#pragma once

#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct StoreValue {
    std::string key;
    std::string value;
    /// Revision of the key's last write.
    Common::StoreRevision revision;
};

} // namespace Scheduler
