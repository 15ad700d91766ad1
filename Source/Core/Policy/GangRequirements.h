// What a gang needs to start.
#pragma once

#include <cstddef>

namespace Policy {

struct GangRequirements {
    size_t members = 0;
    /// The members run at full speed only while all of them are on one rack.
    bool oneRack = false;
    /// The gang still waits for a rack with room for all members; otherwise it starts on any racks.
    bool waitsForRack = false;
};

} // namespace Policy
