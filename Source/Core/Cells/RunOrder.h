// The order to start one run of a task.
#pragma once

#include "Common/Units.h"
#include "Jobs/TaskName.h"

#include <string>

namespace Cells {

struct RunOrder {
    Jobs::TaskName task;
    Common::AttemptNumber attempt;
    std::string payload;
    /// The run resumes from it; empty: it starts from the beginning.
    std::string checkpoint;
    /// Proof that the run may start on this worker, for a queue that requires one; otherwise empty.
    std::string ticket;
};

} // namespace Cells
