// A crash of the worker on which an attempt of a task ran.
#pragma once

#include "Common/Ids.h"

namespace Jobs {

struct TaskCrash {
    Common::WorkerId worker;
    /// The worker had confirmed the start. Otherwise it may have crashed before the order arrived.
    bool started = false;
    /// The attempt had been started shortly before.
    bool fresh = false;
    /// No other run there could have caused the crash.
    bool alone = false;
    /// The whole rack went at the same time; the crash isn't held against the task.
    bool excused = false;

    bool operator==(const TaskCrash&) const = default;
};

} // namespace Jobs
