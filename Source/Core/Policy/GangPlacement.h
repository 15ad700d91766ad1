// Decides where the members of a gang start. Members of some gangs run slowly when they are on more than one rack,
// while on a busy fleet a whole rack is never free.
#pragma once

#include "Policy/GangOffer.h"
#include "Policy/GangRequirements.h"

#include <string>
#include <variant>
#include <vector>

namespace Policy {

/// The members start on one rack, on any workers with room, or not yet.
struct OnRack {
    std::string rack;
};
struct OnAnyRack { };
struct WaitForRack { };
using GangPlacement = std::variant<OnRack, OnAnyRack, WaitForRack>;

/// All members start together or none does. Of the racks with room for all members the fullest is chosen, which keeps
/// room for larger gangs elsewhere. A gang that no rack could hold even when empty doesn't wait for one.
GangPlacement chooseGangPlacement(const GangRequirements&, const std::vector<GangOffer>&);

} // namespace Policy
