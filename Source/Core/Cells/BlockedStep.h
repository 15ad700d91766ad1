// The wait of a step whose tasks find no room.
#pragma once

#include "Common/Units.h"

namespace Cells {

struct BlockedStep {
    /// Since when no task of the step could start.
    Common::MonotonicTime since;
    /// The wait after which the step is logged next.
    Common::Duration logAfter {};
};

} // namespace Cells
