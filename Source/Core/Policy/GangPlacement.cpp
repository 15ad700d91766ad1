// Compares racks by the room they have for members of a gang.
#include "Policy/GangPlacement.h"

#include <algorithm>
#include <map>

namespace Policy {

namespace {

    struct Rack {
        size_t freeMemberSlots = 0;
        size_t memberCapacityWhenEmpty = 0;
    };

} // namespace

GangPlacement chooseGangPlacement(const GangRequirements& requirements, const std::vector<GangOffer>& offers)
{
    std::map<std::string, Rack> racks;
    size_t freeMemberSlots = 0;
    for (const GangOffer& offer : offers) {
        Rack& rack = racks[offer.rack];
        rack.freeMemberSlots += offer.memberCapacity;
        rack.memberCapacityWhenEmpty += offer.memberCapacityWhenEmpty;
        freeMemberSlots += offer.memberCapacity;
    }
    if (freeMemberSlots < requirements.members)
        return WaitForRack {};
    if (!requirements.oneRack)
        return OnAnyRack {};
    const std::string* tightest = nullptr;
    for (const auto& [name, rack] : racks) {
        if (rack.freeMemberSlots >= requirements.members
            && (!tightest || rack.freeMemberSlots < racks.at(*tightest).freeMemberSlots))
            tightest = &name;
    }
    if (tightest)
        return OnRack { *tightest };
    const bool everFits = std::any_of(racks.begin(), racks.end(),
        [&](const auto& row) { return row.second.memberCapacityWhenEmpty >= requirements.members; });
    if (requirements.waitsForRack && everFits)
        return WaitForRack {};
    return OnAnyRack {};
}

} // namespace Policy
