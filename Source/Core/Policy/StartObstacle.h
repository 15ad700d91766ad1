// Reasons for which a waiting task can't start on a worker, for the choice of workers and for logs.
#pragma once

#include <cstddef>
#include <string_view>

namespace Policy {

enum class StartObstacle {
    /// The worker isn't listed, is draining, doesn't answer, hasn't reported to this owner yet, or is listed with the
    /// entry of a former life.
    Unavailable,
    /// It isn't in the durable record of the cell's workers yet.
    Unrecorded,
    /// It has just refused a start.
    Refused,
    /// It belongs to another service, or lacks the required label.
    Ineligible,
    /// It fails the tasks that it starts.
    Ejected,
    /// A suspect of a worker's crash is kept apart there.
    Quarantine,
    /// It runs as many tasks of the step as one worker may.
    TasksOfStep,
    ProcessorTime,
    Memory,
    Accelerators,
    Slots,
    /// A service there would exceed its limit.
    BackfillPace,
    /// Other backfill uses the processor time that is left.
    OtherBackfill,
};

constexpr size_t startObstacles = static_cast<size_t>(StartObstacle::OtherBackfill) + 1;

/// Name of the obstacle in logs.
std::string_view startObstacleName(StartObstacle);

} // namespace Policy
