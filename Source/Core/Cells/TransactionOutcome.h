// What became of a transaction that the store answered.
#pragma once

#include "Common/Units.h"
#include "Scheduler/StoreValue.h"

#include <variant>
#include <vector>

namespace Cells {

struct Committed {
    Common::StoreRevision revision;
};

/// Nothing was changed.
struct Conflict {
    /// The expected keys as they are; revision zero: the key does not exist.
    std::vector<Scheduler::StoreValue> current;
};

using TransactionOutcome = std::variant<Committed, Conflict>;

} // namespace Cells
