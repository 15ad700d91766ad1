// Port to the platform's list of workers. CellOwnership lists and watches it.
#pragma once

#include "Cells/WorkerChanges.h"
#include "Cells/WorkerEntry.h"
#include "Common/Ids.h"
#include "Common/Result.h"

#include <optional>

namespace Cells {

/// Unreadable entries are omitted, because they name no worker.
class WorkerList {
public:
    virtual ~WorkerList() = default;

    virtual void list(Common::Callback<WorkerChanges>) = 0;
    /// The worker's present entry; empty if there is none that can be read.
    virtual void read(const Common::WorkerId&, Common::Callback<std::optional<WorkerEntry>>) = 0;
    /// Waits at most `wait` for changes after `since`. On HistoryLost the caller has to list again.
    virtual void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<WorkerChanges>) = 0;
};

} // namespace Cells
