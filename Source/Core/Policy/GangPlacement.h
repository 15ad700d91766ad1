// Where the members of a gang start. The load it answers: gangs whose members are slow on more than one rack, on a
// fleet whose racks are never free at once.
#pragma once

#include "Policy/GangOffer.h"
#include "Policy/GangRequirements.h"

#include <string>
#include <variant>
#include <vector>

namespace Policy {

/// Where the members go: to one rack, wherever there is room, or nowhere yet.
struct OnRack {
    std::string rack;
};
struct OnAnyRack { };
struct WaitForRack { };
using GangPlacement = std::variant<OnRack, OnAnyRack, WaitForRack>;

/// All members start together or none does. Of the racks with room for all the fullest is taken, so that room for wide
/// gangs stays.
GangPlacement chooseGangPlacement(const GangRequirements&, const std::vector<GangOffer>&);

} // namespace Policy
