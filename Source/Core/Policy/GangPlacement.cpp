// Racks with room for a whole gang.
#include "Policy/GangPlacement.h"

#include <algorithm>
#include <map>

namespace Policy {

namespace {

    struct Rack {
        size_t places = 0;
        size_t memberCapacityWhenEmpty = 0;
    };

} // namespace

GangPlacement chooseGangPlacement(const GangRequirements& need, const std::vector<GangOffer>& offers)
{
    std::map<std::string, Rack> racks;
    size_t places = 0;
    for (const GangOffer& offer : offers) {
        Rack& rack = racks[offer.rack];
        rack.places += offer.memberCapacity;
        rack.memberCapacityWhenEmpty += offer.memberCapacityWhenEmpty;
        places += offer.memberCapacity;
    }
    if (places < need.members)
        return WaitForRack {};
    if (!need.oneRack)
        return OnAnyRack {};
    const std::string* tightest = nullptr;
    for (const auto& [name, rack] : racks) {
        if (rack.places >= need.members && (!tightest || rack.places < racks.at(*tightest).places))
            tightest = &name;
    }
    if (tightest)
        return OnRack { *tightest };
    const bool everFits = std::any_of(racks.begin(), racks.end(),
        [&](const auto& row) { return row.second.memberCapacityWhenEmpty >= need.members; });
    if (need.waitsForRack && everFits)
        return WaitForRack {};
    return OnAnyRack {};
}

} // namespace Policy
