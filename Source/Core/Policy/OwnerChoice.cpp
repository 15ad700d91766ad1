// Weighted rendezvous hashing with preference for what is near.
#include "Policy/OwnerChoice.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Policy {

namespace {

    /// Nearness is worth this much more weight: orders and looks of an owner in the cell's domain cross no link.
    constexpr double sameDomainFactor = 30;
    constexpr double sameRegionFactor = 5;
    /// A host that the store turns away can't commit; it should own only what nobody else can.
    constexpr double noStoreFactor = 0.001;

    double score(std::string_view cell, const OwnerCandidate& candidate)
    {
        const auto hash = static_cast<double>(Common::rendezvousWeight(cell, candidate.host));
        const double uniform = (hash + 1) / (static_cast<double>(std::numeric_limits<uint64_t>::max()) + 2);
        double weight = static_cast<double>(std::max<int64_t>(candidate.weight, 1));
        if (candidate.sameDomain)
            weight *= sameDomainFactor;
        else if (candidate.sameRegion)
            weight *= sameRegionFactor;
        if (!candidate.storeAnswers)
            weight *= noStoreFactor;
        return -weight / std::log(uniform);
    }

} // namespace

std::vector<size_t> rankOwners(std::string_view cell, const std::vector<OwnerCandidate>& candidates)
{
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const OwnerCandidate& candidate : candidates)
        scores.push_back(score(cell, candidate));
    std::vector<size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b] : candidates[a].host < candidates[b].host;
    });
    return order;
}

} // namespace Policy
