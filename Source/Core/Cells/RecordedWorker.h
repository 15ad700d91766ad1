// A worker in the durable record of a cell's workers.
#pragma once

#include "Common/Ids.h"
#include "Jobs/TaskName.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cells {

/// Tells a successor where runs may be, and on which lives calls of the former owner may still have an effect.
struct RecordedWorker {
    Common::WorkerId id;
    std::string address;
    /// See WorkerEntry::startedAtMilliseconds; 0 also in a record of an earlier release.
    int64_t startedAtMilliseconds = 0;
    /// Wall clock until which calls to former lives may have an effect on this one; 0 if there are none.
    int64_t lateCallsEndMilliseconds = 0;

    /// A start order that was left unanswered.
    struct LateStart {
        Jobs::TaskName task;
        /// Wall clock until which it may be carried out.
        int64_t endMilliseconds = 0;
    };
    /// Empty in a record of an earlier release.
    std::vector<LateStart> lateStarts;
};

} // namespace Cells
