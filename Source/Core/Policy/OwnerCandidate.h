// A host that could own a cell.
#pragma once

#include <cstdint>
#include <string>

namespace Policy {

struct OwnerCandidate {
    std::string host;
    /// Relative capacity for owning cells; values below 1 count as 1.
    int64_t weight = 0;
    bool sameDomain = false;
    bool sameRegion = false;
    /// The host can write to the store.
    bool storeAvailable = true;
    /// The host's own timers fire so late that it can't serve a cell in time.
    bool late = false;
};

} // namespace Policy
