// Racks with room for a whole gang.
#include "Policy/GangPlaces.h"

#include <algorithm>
#include <map>

namespace Policy {

namespace {

    struct Rack {
        size_t places = 0;
        size_t placesWhenEmpty = 0;
    };

} // namespace

GangPlaces chooseGangPlaces(const GangNeed& need, const std::vector<GangOffer>& offers)
{
    std::map<std::string, Rack> racks;
    size_t places = 0;
    for (const GangOffer& offer : offers) {
        Rack& rack = racks[offer.rack];
        rack.places += offer.places;
        rack.placesWhenEmpty += offer.placesWhenEmpty;
        places += offer.places;
    }
    if (places < need.members)
        return NotNow {};
    if (!need.oneRack)
        return OnAnyRack {};
    const std::string* tightest = nullptr;
    for (const auto& [name, rack] : racks) {
        if (rack.places >= need.members && (!tightest || rack.places < racks.at(*tightest).places))
            tightest = &name;
    }
    if (tightest)
        return OnRack { *tightest };
    const bool everFits = std::any_of(
        racks.begin(), racks.end(), [&](const auto& row) { return row.second.placesWhenEmpty >= need.members; });
    if (need.patient && everFits)
        return NotNow {};
    return OnAnyRack {};
}

} // namespace Policy
