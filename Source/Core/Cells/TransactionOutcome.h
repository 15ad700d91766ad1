// Outcome of a transaction that the store answered.
#pragma once

#include "Common/Units.h"
#include "Scheduler/StoreValue.h"

#include <variant>
#include <vector>

namespace Cells {

struct Committed {
    Common::StoreRevision revision;
};

/// An expected revision didn't match; nothing was changed.
struct Conflict {
    /// The current state of the expected keys; revision zero: the key does not exist.
    std::vector<Scheduler::StoreValue> current;
};

using TransactionOutcome = std::variant<Committed, Conflict>;

} // namespace Cells
