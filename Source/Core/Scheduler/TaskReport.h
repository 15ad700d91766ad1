// One task in a worker's report.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Scheduler/TaskKind.h"
#include "Scheduler/TaskState.h"

#include <string>

namespace Scheduler {

struct TaskReport {
    Common::TaskId task;
    TaskKind kind = TaskKind::Batch;
    TaskState state = TaskState::Running;
    /// What the task declared when it started.
    Common::Resources declared;
    /// What it used when the usage sample was taken; lags behind the report.
    Common::Resources used;
    /// Work done per unit of time against running alone, in thousandths, when the sample was taken.
    int64_t speedPerMille = 1000;
    /// When the usage sample was taken, on the worker's clock.
    Common::WorkerTime sampledAt;
    /// When the task's lease lapses, on the worker's clock.
    Common::WorkerTime leaseExpiresAt;
    /// The newest checkpoint, empty when there is none. An opaque token that a later start can resume from.
    std::string checkpoint;
    bool throttled = false;
};

} // namespace Scheduler
