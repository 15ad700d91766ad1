// What one run holds on a worker.
#pragma once

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
    /// Counted against the worker's capacity.
    Common::Resources held;
    /// Processor time that a backfill run would like to have; 0 for others.
    int64_t backfillMilliCores = 0;
    /// Tail latency that the run's users expect; zero for runs that don't serve.
    Common::Duration latencyTarget {};
    /// Last figure of the worker; see RunningTask::load.
    double load = -1;
    std::string image;
    /// Share of its speed that the run was told to keep to.
    uint32_t pace = 100;
    /// Since when a backfill run has been slowed down so far that it hardly gets on.
    std::optional<Common::MonotonicTime> starvedSince;
    /// The worker has listed the run as running.
    bool reportedRunning = false;
    /// An order to start it had no answer and may be carried out later.
    bool startOutcomeUnknown = false;
    /// An order to stop it is under way or was carried out.
    bool stopping = false;
    /// When the worker had answered the last order about the run. A report that was asked for after that and doesn't
    /// list the run shows that it is gone.
    std::optional<Common::MonotonicTime> orderAnsweredAt;
};

/// What a run of the step holds.
RunAllocation allocationFor(const Jobs::StepSpec&);
/// "job.occurrence.step.index#attempt", for logs.
std::string runName(const RunKey&);

} // namespace Cells
