// Scores cells by their load, their distance and the location of the job's data; the lowest score wins.
#include "Policy/CellChoice.h"

#include <algorithm>

namespace Policy {

namespace {

    /// Penalties as shares of a cell's capacity: using a link to another domain or region has a cost.
    constexpr double otherDomain = 0.01;
    constexpr double otherRegion = 0.06;
    constexpr double farFromData = 1;
    /// Waiting work weighs more than used capacity, since it delays everything queued behind it.
    constexpr double waitingWeight = 1.5;

    /// A cell with less free capacity than this many times a service's demand counts as full.
    constexpr double serviceMargin = 1.1;

    constexpr double tieWeight = 0.1;

    double loadScore(const JobDemand& demand, const CellOffer& offer)
    {
        const auto capacity = static_cast<double>(std::max<int64_t>(offer.capacity, 1));
        double score = 0;
        if (demand.serves) {
            const bool full = static_cast<double>(offer.free) < serviceMargin * static_cast<double>(demand.regular);
            return (full ? 1 : 0) - static_cast<double>(offer.sameImage) / capacity - tieWeight * offer.tieBreak
                + farFromData * offer.farShare;
        }
        if (demand.regular > 0) {
            const auto taken = static_cast<double>(offer.capacity - offer.free + demand.regular);
            score += (taken + waitingWeight * static_cast<double>(offer.waitingRegular)) / capacity;
        }
        if (demand.backfill > 0) {
            const int64_t room = offer.imageBackfillCapacity >= 0 ? offer.imageBackfillCapacity : offer.backfill;
            const auto taken = static_cast<double>(offer.capacity - room + demand.backfill);
            score += (taken + waitingWeight * static_cast<double>(offer.waitingBackfill)) / capacity;
        }
        if (!offer.sameRegion)
            score += otherRegion;
        else if (!offer.sameDomain)
            score += otherDomain;
        return score + farFromData * offer.farShare;
    }

} // namespace

std::optional<size_t> chooseCell(const JobDemand& demand, const std::vector<CellOffer>& offers)
{
    std::optional<size_t> best;
    double least = 0;
    for (size_t index = 0; index < offers.size(); ++index) {
        if (offers[index].capacity <= 0)
            continue;
        const double current = loadScore(demand, offers[index]);
        if (!best || current < least) {
            best = index;
            least = current;
        }
    }
    return best;
}

} // namespace Policy
