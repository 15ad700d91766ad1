// A worker in the durable record of a cell's workers.
#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <string>

namespace Cells {

/// Tells a successor where runs may be, and on which lives calls of the former owner may still have an effect.
struct RecordedWorker {
    Common::WorkerId id;
    std::string address;
    /// See WorkerEntry::startedAtMilliseconds; 0 also in a record of an earlier release.
    int64_t startedAtMilliseconds = 0;
    /// Wall clock until which calls to former lives may have an effect on this one; 0 if there are none.
    int64_t lateCallsEndMilliseconds = 0;
};

} // namespace Cells
