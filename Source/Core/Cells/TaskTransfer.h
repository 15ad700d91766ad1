// A transfer of a job's waiting tasks from one cell to another.
#pragma once

#include "Cells/CellId.h"
#include "Common/Result.h"
#include "Common/Units.h"
#include "Jobs/JobRecord.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cells {

/// Written to the store in the transaction that removes the tasks from the sending cell, and deleted in the one that
/// adds them to the receiving cell, so that the tasks always belong to exactly one of the two.
struct TaskTransfer {
    CellId from;
    CellId to;
    /// Sequence number, from 1, among the sending cell's transfers of the job.
    uint32_t number = 0;
    /// The job's initial record in a receiving cell that has no tasks of it yet. The transferred tasks are those with
    /// an empty `transferredTo`.
    Jobs::JobRecord part;
    /// How long the tasks have waited in vain for a start; zero in transfers of hosts of an earlier version.
    Common::Duration waited {};

    /// Key of the transfer in the store.
    std::string key() const;
    std::string encode() const;
    /// Fails with ProtocolError, or as JobRecord::decode does, if the text can't be parsed.
    static Common::Result<TaskTransfer> decode(std::string_view text);
};

} // namespace Cells
