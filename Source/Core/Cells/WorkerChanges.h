// A change of the platform's list of workers.
#pragma once

#include "Cells/WorkerEntry.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <vector>

namespace Cells {

struct WorkerChanges {
    std::vector<WorkerEntry> listed;
    std::vector<Common::WorkerId> removed;
    /// Pass it to the next watch.
    Common::StoreRevision upTo;
};

} // namespace Cells
