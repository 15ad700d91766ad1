// One run of a task, as the owner of its cell tracks it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <optional>

namespace Cells {

enum class RunPhase {
    /// The start order was sent or is about to be; the worker hasn't confirmed it.
    Ordered,
    Running,
    /// A stop order was issued. The run keeps its allocation until its end is reported.
    Stopping,
};

struct TaskRun {
    Common::WorkerId worker;
    Common::AttemptNumber attempt;
    RunPhase phase = RunPhase::Ordered;
    Common::MonotonicTime orderedAt;
    /// When the worker confirmed the start, or first listed the run; empty before that.
    std::optional<Common::MonotonicTime> confirmedAt;
    /// Last reported progress; see RunningTask::percent.
    uint32_t percent = 0;
    /// When the run last made progress or was exempt from the check for stuck runs.
    Common::MonotonicTime progressedAt;
};

} // namespace Cells
