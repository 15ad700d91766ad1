// The platform's list of workers.
#pragma once

#include "Cells/WorkerChanges.h"
#include "Common/Result.h"

namespace Cells {

/// Entries that can't be read name no worker and are left out.
class WorkerList {
public:
    virtual ~WorkerList() = default;

    virtual void list(Common::Callback<WorkerChanges>) = 0;
    /// HistoryLost: list again.
    virtual void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<WorkerChanges>) = 0;
};

} // namespace Cells
