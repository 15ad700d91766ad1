// One task of an open occurrence.
#pragma once

#include "Cells/TaskRun.h"
#include "Jobs/TaskProgress.h"
#include "Policy/RestartBackoff.h"

#include <optional>

namespace Cells {

struct LiveTask {
    Jobs::TaskProgress progress;
    /// Empty if the task has no run.
    std::optional<TaskRun> run;
    /// The task isn't started before this time, after a worker couldn't read its order or its runs ended soon.
    Common::MonotonicTime notBefore;
    /// Counts the runs of a long-running task that ended soon by themselves.
    Policy::RestartBackoff restarts;
    /// Worker on which the last run failed or was stuck; another worker is preferred. Empty if there is none.
    Common::WorkerId avoid;
    /// The change of the job without which the task isn't started: the one that records its last crash or its receipt
    /// from another cell must be durable first.
    uint64_t requiredChange = 0;
    /// Runs that were lost with silent workers, which may turn out to have crashed.
    uint32_t unconfirmedCrashes = 0;
    /// Since when the task waits for a worker on which it can run in isolation; empty if it doesn't.
    std::optional<Common::MonotonicTime> isolationSince;
    /// No runs are stopped to make room for the task before this time, after some were or none could be.
    Common::MonotonicTime noRoomMadeBefore;
    /// How often runs of the task were stopped here to make room for others.
    uint32_t stopsForRoom = 0;

    /// An earlier owner may have started the task on a worker that hasn't reported to this owner.
    bool mayBeElsewhere = false;

    /// The task, or its gang, has failed as often as it may. The cell to which the job belongs fails the job then; a
    /// part returns the task to that cell.
    bool attemptsUsedUp = false;

    bool waiting() const { return !progress.done && !run && !attemptsUsedUp && progress.transferredTo.empty(); }
};

} // namespace Cells
