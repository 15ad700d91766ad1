// Allocations of runs and the names of runs in logs.
#include "Cells/RunAllocation.h"

namespace Cells {

RunAllocation allocationFor(const Jobs::StepSpec& spec)
{
    RunAllocation allocation;
    allocation.held = spec.resources;
    allocation.held.slots = 0;
    allocation.image = spec.image;
    allocation.longRunning = spec.longRunning;
    allocation.estimate = spec.estimate;
    allocation.latencyTarget = spec.longRunning ? spec.latencyTarget : Common::Duration::zero();
    if (spec.backfill) {
        allocation.held.milliCores = 0;
        allocation.backfillMilliCores = spec.resources.milliCores;
    }
    return allocation;
}

std::string runName(const RunKey& run)
{
    return run.task.job.value() + "." + std::to_string(run.task.occurrence) + "." + std::to_string(run.task.step) + "."
        + std::to_string(run.task.index) + "#" + std::to_string(run.attempt.value);
}

} // namespace Cells
