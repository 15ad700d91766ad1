// What one worker has to offer to a gang.
#pragma once

#include <cstddef>
#include <string>

namespace Policy {

struct GangOffer {
    std::string rack;
    /// Members that it has room for now, and that it would have room for if nothing else ran there.
    size_t memberCapacity = 0;
    size_t memberCapacityWhenEmpty = 0;
};

} // namespace Policy
