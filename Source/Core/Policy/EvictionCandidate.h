// What the owner of a worker knows of a batch task beyond the worker's report.
#pragma once

#include "Common/Units.h"
#include "Scheduler/Priority.h"

namespace Policy {

struct EvictionCandidate {
    /// A task that isn't evictable may be throttled but is never stopped.
    bool evictable = true;
    Scheduler::Priority priority = Scheduler::Priority::Normal;
    Common::MonotonicTime startedAt;
    /// Not stopped before it has run this long.
    Common::Duration minimumRunTime {};
    /// Predicted harm to the latency-critical work beside it (see InterferenceModel); zero: none. The most harmful task
    /// is throttled first.
    double harm = 0;
};

} // namespace Policy
