// Outcome of a job submission that a cell answered.
#pragma once

#include "Cells/CellId.h"

#include <variant>

namespace Cells {

/// The job is durable in the cell.
struct Accepted { };

/// A job of this id was accepted before, by `cell`.
struct AlreadyAccepted {
    CellId cell;
};

using AcceptOutcome = std::variant<Accepted, AlreadyAccepted>;

} // namespace Cells
