// A place kept for one task, until it is started or lapses.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

/// Invariant: a start under this reservation is refused by the worker itself once its clock has reached `startBy`
/// or when it has rebooted.
struct Reservation {
    Common::TaskId task;
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime startBy;
    /// The daemon that owns the worker.
    Common::DaemonId owner;
};

} // namespace Scheduler
