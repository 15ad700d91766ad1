// Entries of the platform's list of workers that were listed, changed or removed.
#pragma once

#include "Cells/WorkerEntry.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <vector>

namespace Cells {

struct WorkerChanges {
    std::vector<WorkerEntry> listed;
    std::vector<Common::WorkerId> removed;
    /// Revision to start the next watch from.
    Common::StoreRevision upTo;
};

} // namespace Cells
