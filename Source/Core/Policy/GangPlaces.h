// Where the members of a gang start. The load it answers: gangs whose members are slow on more than one rack, on a
// fleet whose racks are never free at once.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace Policy {

/// One worker on which members may run.
struct GangOffer {
    std::string rack;
    /// Members that it has room for now, and that it would have room for if nothing else ran there.
    size_t places = 0;
    size_t placesWhenEmpty = 0;
};

struct GangNeed {
    size_t members = 0;
    /// They get on well only while all of them are on one rack.
    bool oneRack = false;
    /// A rack with room for all of them is still worth waiting for.
    bool patient = false;
};

struct OnRack {
    std::string rack;
};
struct OnAnyRack { };
struct NotNow { };
using GangPlaces = std::variant<OnRack, OnAnyRack, NotNow>;

/// All members start together or none does. Of the racks with room for all the fullest is taken, so that room for wide
/// gangs stays.
GangPlaces chooseGangPlaces(const GangNeed&, const std::vector<GangOffer>&);

} // namespace Policy
