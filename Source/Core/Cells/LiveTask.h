// One task of a job that isn't final.
#pragma once

#include "Cells/TaskRun.h"
#include "Jobs/TaskProgress.h"

#include <optional>

namespace Cells {

struct LiveTask {
    Jobs::TaskProgress progress;
    std::optional<TaskRun> run;
    /// Not started before, after an order that couldn't be carried out.
    Common::MonotonicTime notBefore;
    /// Worker on which the last run failed or stood still; another one is preferred.
    Common::WorkerId avoid;

    bool waiting() const { return !progress.done && !run && progress.transferredTo.empty(); }
};

} // namespace Cells
