// Capacity reserved on a worker for one task, until the task starts or the reservation expires.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

/// Invariant: the worker rejects a start under this reservation once its clock has reached `startBy` or after it has
/// rebooted.
struct Reservation {
    Common::TaskId task;
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime startBy;
    /// The daemon that owns the worker.
    Common::DaemonId owner;
};

} // namespace Scheduler
