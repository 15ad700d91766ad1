// Tasks of a job on their way from one cell to another.
#pragma once

#include "Cells/CellId.h"
#include "Common/Result.h"
#include "Jobs/JobRecord.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cells {

/// Lies in the store from the transaction in which the giver lets go of the tasks until the one in which the receiver
/// takes them over, so that the tasks always belong to one of the two.
struct TaskTransfer {
    CellId from;
    CellId to;
    /// Counts the gifts of the job by this giver.
    uint32_t number = 0;
    /// The record with which a cell begins that has none of the job yet. Tasks that aren't `elsewhere` are the given
    /// ones.
    Jobs::JobRecord part;

    std::string key() const;
    std::string encode() const;
    static Common::Result<TaskTransfer> decode(std::string_view text);
};

} // namespace Cells
