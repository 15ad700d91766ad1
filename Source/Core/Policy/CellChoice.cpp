// Crowding of cells.
#include "Policy/CellChoice.h"

#include <algorithm>

namespace Policy {

namespace {

    /// Penalties in shares of a cell's capacity: what crosses a link has to be worth it.
    constexpr double otherDomain = 0.01;
    constexpr double otherRegion = 0.06;
    constexpr double farFromData = 1;
    /// Waiting work weighs more than room that is taken: it delays everything behind it.
    constexpr double waitingWeight = 1.5;

    /// A cell with less room than this many times a service's demand isn't tried first.
    constexpr double serviceMargin = 1.1;

    constexpr double tieWeight = 0.1;

    double crowding(const JobDemand& demand, const CellOffer& offer)
    {
        const auto capacity = static_cast<double>(std::max<int64_t>(offer.capacity, 1));
        double crowded = 0;
        if (demand.serves) {
            const bool full = static_cast<double>(offer.free) < serviceMargin * static_cast<double>(demand.regular);
            return (full ? 1 : 0) - static_cast<double>(offer.sameImage) / capacity - tieWeight * offer.tieBreak
                + farFromData * offer.farShare;
        }
        if (demand.regular > 0) {
            const auto taken = static_cast<double>(offer.capacity - offer.free + demand.regular);
            crowded += (taken + waitingWeight * static_cast<double>(offer.waitingRegular)) / capacity;
        }
        if (demand.backfill > 0) {
            const int64_t room = offer.imageRoom >= 0 ? offer.imageRoom : offer.backfill;
            const auto taken = static_cast<double>(offer.capacity - room + demand.backfill);
            crowded += (taken + waitingWeight * static_cast<double>(offer.waitingBackfill)) / capacity;
        }
        if (!offer.sameRegion)
            crowded += otherRegion;
        else if (!offer.sameDomain)
            crowded += otherDomain;
        return crowded + farFromData * offer.farShare;
    }

} // namespace

std::optional<size_t> chooseCell(const JobDemand& demand, const std::vector<CellOffer>& offers)
{
    std::optional<size_t> best;
    double least = 0;
    for (size_t index = 0; index < offers.size(); ++index) {
        if (offers[index].capacity <= 0)
            continue;
        const double current = crowding(demand, offers[index]);
        if (!best || current < least) {
            best = index;
            least = current;
        }
    }
    return best;
}

} // namespace Policy
