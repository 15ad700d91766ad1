// The room that one worker offers to a gang.
#pragma once

#include <cstddef>
#include <string>

namespace Policy {

struct GangOffer {
    std::string rack;
    /// Number of members that fit now, and that would fit if nothing else ran on the worker.
    size_t memberCapacity = 0;
    size_t memberCapacityWhenEmpty = 0;
};

} // namespace Policy
