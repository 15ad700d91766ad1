// Result of RecordStore::list: the records under a prefix.
#pragma once

#include "Common/Units.h"
#include "Scheduler/StoreValue.h"

#include <vector>

namespace Cells {

struct RecordListing {
    std::vector<Scheduler::StoreValue> records;
    /// The store's revision when the listing began; a watch that starts from it misses no change.
    Common::StoreRevision upTo;
    /// Number of records that are missing here, since not even their keys could be read.
    uint32_t unreadable = 0;
};

} // namespace Cells
