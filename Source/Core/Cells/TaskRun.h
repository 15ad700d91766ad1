// One run of a task, as the cell's owner knows it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <optional>

namespace Cells {

enum class RunPhase {
    /// The start was sent, or is about to be; whether the worker took it isn't known.
    Ordered,
    Running,
    /// A stop was asked for. The run holds its room until its end is listed.
    Stopping,
};

struct TaskRun {
    Common::WorkerId worker;
    Common::AttemptNumber attempt;
    RunPhase phase = RunPhase::Ordered;
    Common::MonotonicTime orderedAt;
    /// When the worker confirmed the start.
    std::optional<Common::MonotonicTime> confirmedAt;
    uint32_t percent = 0;
    /// When `percent` last grew.
    Common::MonotonicTime progressedAt;
};

} // namespace Cells
