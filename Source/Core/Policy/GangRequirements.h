// What a gang needs to start.
#pragma once

#include <cstddef>

namespace Policy {

struct GangRequirements {
    size_t members = 0;
    /// They get on well only while all of them are on one rack.
    bool oneRack = false;
    /// A rack with room for all of them is still worth waiting for.
    bool waitsForRack = false;
};

} // namespace Policy
