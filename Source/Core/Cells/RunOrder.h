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
    /// Empty: from the beginning.
    std::string checkpoint;
    /// Proof that the run is allowed on this worker, where the queue needs one.
    std::string ticket;
};

} // namespace Cells
