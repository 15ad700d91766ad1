// One open occurrence of a job: its steps and the start of its objective.
#pragma once

#include "Cells/LiveStep.h"
#include "Common/Units.h"

#include <vector>

namespace Cells {

struct LiveOccurrence {
    std::vector<LiveStep> steps;
    /// The completion objective counts from the time at which the occurrence was due, or at which the job was accepted
    /// if it isn't scheduled.
    Common::MonotonicTime objectiveStartsAt;
};

} // namespace Cells
