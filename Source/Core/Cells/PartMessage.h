// What the owner of a cell tells the owner of another one about tasks of a job that were transferred between them.
#pragma once

#include "Cells/TaskTransfer.h"
#include "Jobs/JobRecord.h"

#include <variant>

namespace Cells {

/// Tasks of another cell's job that were transferred durably, or the record of the cancelled part of such a job. The
/// cancellation may arrive before the tasks.
using PartMessage = std::variant<TaskTransfer, Jobs::JobRecord>;

} // namespace Cells
