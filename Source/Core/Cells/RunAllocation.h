// Resources that one run holds on a worker, and the state of its orders.
#pragma once

#include "Cells/CellId.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Jobs/StepSpec.h"
#include "Jobs/TaskName.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Cells {

struct RunKey {
    Jobs::TaskName task;
    Common::AttemptNumber attempt;

    auto operator<=>(const RunKey&) const = default;
};

struct RunAllocation {
    /// Counted against the worker's capacity. Backfill runs hold no processor time.
    Common::Resources held;
    /// Processor time that a backfill run declares, in thousandths of a core; 0 for other runs.
    int64_t backfillMilliCores = 0;
    /// Tail latency target of a run that serves users; zero for other runs.
    Common::Duration latencyTarget {};
    /// Load that the worker reported last; see RunningTask::load.
    double load = -1;
    std::string image;
    /// The run doesn't end by itself.
    bool longRunning = false;
    /// The caller's rough estimate of the run time.
    Common::Duration estimate {};
    /// Pace that the run was last ordered to keep to, in percent of its speed.
    uint32_t pace = 100;
    /// Since when a backfill run's pace has been too low for useful progress; empty if it isn't.
    std::optional<Common::MonotonicTime> starvedSince;
    /// Whether the worker has listed the run as running.
    bool reportedRunning = false;
    /// Whether a start order had no answer, so that it may still be carried out, and when the last such order was sent.
    bool startOutcomeUnknown = false;
    Common::MonotonicTime startUnansweredSince;
    /// Whether it was logged that the run is kept although the lease of its silent worker has passed.
    bool heldLogged = false;
    /// Token of the last start order, or of the worker when it listed the run; a value of 0 if no order was sent, or
    /// none can have arrived. Lower than the worker's token after the worker has started anew.
    FencingToken token;
    /// Whether a stop order was sent or is about to be.
    bool stopping = false;
    /// When the worker answered the last start or stop order for the run; empty if it hasn't. A report that was
    /// requested later and doesn't list the run shows that the run is gone.
    std::optional<Common::MonotonicTime> orderAnsweredAt;
    /// When the run was ordered or, if an earlier owner started it, first listed.
    Common::MonotonicTime orderedAt;
};

/// The allocation of a run of the step.
RunAllocation allocationFor(const Jobs::StepSpec&);
/// "job.occurrence.step.index#attempt", for logs.
std::string runName(const RunKey&);

} // namespace Cells
