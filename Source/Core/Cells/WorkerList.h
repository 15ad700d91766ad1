// Port to the platform's list of workers. CellOwnership lists and watches it.
#pragma once

#include "Cells/WorkerChanges.h"
#include "Common/Result.h"

namespace Cells {

/// Unreadable entries are omitted, because they name no worker.
class WorkerList {
public:
    virtual ~WorkerList() = default;

    virtual void list(Common::Callback<WorkerChanges>) = 0;
    /// Waits at most `wait` for changes after `since`. On HistoryLost the caller has to list again.
    virtual void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<WorkerChanges>) = 0;
};

} // namespace Cells
