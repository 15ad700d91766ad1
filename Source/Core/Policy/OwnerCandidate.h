// A host that could own a cell.
#pragma once

#include <cstdint>
#include <string>

namespace Policy {

struct OwnerCandidate {
    std::string host;
    /// What it can carry.
    int64_t weight = 0;
    bool sameDomain = false;
    bool sameRegion = false;
    /// It can write to the store.
    bool storeAvailable = true;
};

} // namespace Policy
