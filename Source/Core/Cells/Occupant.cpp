// What runs hold, and their names in logs.
#include "Cells/Occupant.h"

namespace Cells {

Occupant occupantOf(const Jobs::StepSpec& spec)
{
    Occupant occupant;
    occupant.held = spec.resources;
    occupant.held.slots = 0;
    occupant.image = spec.image;
    occupant.latencyTarget = spec.longRunning ? spec.latencyTarget : Common::Duration::zero();
    if (spec.backfill) {
        occupant.held.milliCores = 0;
        occupant.backfillMilliCores = spec.resources.milliCores;
    }
    return occupant;
}

std::string runName(const RunKey& run)
{
    return run.task.job.value() + "." + std::to_string(run.task.occurrence) + "." + std::to_string(run.task.step) + "."
        + std::to_string(run.task.index) + "#" + std::to_string(run.attempt.value);
}

} // namespace Cells
