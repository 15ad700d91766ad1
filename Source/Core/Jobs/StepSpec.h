// One step of a job: how many tasks, what each needs, and where they may run.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

/// Invariant: every entry of `after` is the number of an earlier step.
struct StepSpec {
    uint32_t taskCount = 1;
    /// Declared resources of each task; `slots` is not used.
    Common::Resources resources;
    /// The caller's rough estimate of a task's run time.
    Common::Duration estimate {};
    /// Numbers of the steps whose tasks must all be done first.
    std::vector<uint32_t> after;
    /// Tasks save checkpoints and can resume from them.
    bool supportsCheckpoints = false;
    /// The tasks run only together and end together.
    bool gang = false;
    /// Tasks are slower when they run on more than one rack.
    bool sameRack = false;
    /// Several copies of a task may run in parallel.
    bool mayRunCopies = false;
    /// The tasks run until the job is cancelled; one that ends is restarted, whatever the reason.
    bool longRunning = false;
    /// The tasks use only processor time that others leave idle; it isn't counted against the worker's capacity.
    bool backfill = false;
    /// Label that a worker must have; empty: any worker.
    std::string requiredLabel;
    /// Rack that holds the step's data; empty: no preference.
    Common::RackId preferredRack;
    /// Limit on the tasks of the step on one worker; 0: no limit.
    uint32_t maximumPerWorker = 0;
    /// Tasks of the same image are expected to behave alike.
    std::string image;
    /// Target for the tail latency of a long-running task that serves users; 0: none.
    Common::Duration latencyTarget {};
    /// Limit on the tasks that the scheduler may make unavailable at once; 0: no limit.
    uint32_t maximumUnavailable = 0;
};

} // namespace Jobs
