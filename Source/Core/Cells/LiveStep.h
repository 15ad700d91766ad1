// One step of an open occurrence.
#pragma once

#include "Cells/BlockedStep.h"
#include "Cells/LiveTask.h"
#include "Policy/RoomInquiry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cells {

/// Invariant: `doneCount` and `waitingCount` are the numbers of tasks that are done and that are waiting.
struct LiveStep {
    std::vector<LiveTask> tasks;
    uint32_t doneCount = 0;
    uint32_t waitingCount = 0;
    /// Since when a gang has waited for room; empty if it isn't waiting.
    std::optional<Common::MonotonicTime> waitingSince;
    /// Empty if no task of the step was refused room since one last started.
    std::optional<BlockedStep> blocked;
    /// When a task of the step last started while room was reserved for it; empty if no other task waits. The others
    /// get a reservation without the usual delay.
    std::optional<Common::MonotonicTime> reservedStartAt;
    /// How often tasks of the step came here, or came back, still waiting, by the cells that found no room for them.
    std::map<std::string, uint32_t> refusals;
    /// Questions to other cells about room for a long-running task that has lost its run; begun anew by each start.
    Policy::RoomInquiry inquiry;

    bool isComplete() const { return doneCount == tasks.size(); }
};

} // namespace Cells
