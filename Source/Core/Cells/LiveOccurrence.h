// One occurrence of a job's steps.
#pragma once

#include "Cells/LiveStep.h"
#include "Common/Units.h"

#include <vector>

namespace Cells {

struct LiveOccurrence {
    std::vector<LiveStep> steps;
    /// From here on its objective counts.
    Common::MonotonicTime objectiveStartsAt;
};

} // namespace Cells
