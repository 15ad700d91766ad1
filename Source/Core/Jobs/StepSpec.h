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
    /// Declared need of each task; `slots` is not used.
    Common::Resources resources;
    /// Rough run time of a task as the caller guessed it.
    Common::Duration estimate {};
    /// Steps whose tasks must all be done first.
    std::vector<uint32_t> after;
    /// Tasks save their progress and can resume from it.
    bool supportsCheckpoints = false;
    /// Tasks work only together and end together.
    bool gang = false;
    /// Tasks are slower when they run on more than one rack.
    bool sameRack = false;
    /// Copies of a task may run in parallel.
    bool mayRunCopies = false;
    /// Tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    /// Processor time is taken from what other tasks leave unused and isn't counted against the worker's capacity.
    bool backfill = false;
    /// Label that the worker must have; empty: any worker.
    std::string requiredLabel;
    /// Rack that holds the step's data; empty: any.
    Common::RackId preferredRack;
    /// Most tasks of the step on one worker; 0: no limit.
    uint32_t maximumPerWorker = 0;
    /// Tasks of one image behave alike.
    std::string image;
    /// Tail latency that the users of a long-running task expect; 0: none.
    Common::Duration latencyTarget {};
    /// Most tasks that this system may make unavailable at once; 0: no limit was set.
    uint32_t maximumUnavailable = 0;
};

} // namespace Jobs
