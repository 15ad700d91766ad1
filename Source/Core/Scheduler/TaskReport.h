// State and usage of one task in a worker's report.
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
    /// Resources that the task declared at its start.
    Common::Resources declared;
    /// Resources used at `sampledAt`; lags behind the report.
    Common::Resources used;
    /// Work done per unit of time at `sampledAt`, in thousandths of what the task does when it runs alone.
    int64_t speedPerMille = 1000;
    /// When the usage was sampled, on the worker's clock.
    Common::WorkerTime sampledAt;
    /// When the task's lease expires, on the worker's clock.
    Common::WorkerTime leaseExpiresAt;
    /// The latest checkpoint: an opaque token that a later start can resume from. Empty if there is none.
    std::string checkpoint;
    bool throttled = false;
};

} // namespace Scheduler
