// What became of a job that was to be accepted.
#pragma once

#include "Cells/CellId.h"

#include <variant>

namespace Cells {

/// It is durable.
struct Accepted { };

/// A job of this id is already there.
struct AlreadyAccepted {
    CellId cell;
};

using AcceptOutcome = std::variant<Accepted, AlreadyAccepted>;

} // namespace Cells
