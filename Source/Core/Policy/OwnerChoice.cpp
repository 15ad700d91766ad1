// Weighted rendezvous hashing with a preference for hosts near the cell.
#include "Policy/OwnerChoice.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <string_view>
#include <utility>

namespace Policy {

namespace {

    /// Factors on the weight of near hosts: orders and polls of an owner in the cell's domain cross no link.
    constexpr double sameDomainFactor = 30;
    constexpr double sameRegionFactor = 5;
    /// A host without access to the store can't commit; it should own a cell only when no other host can.
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
        if (!candidate.storeAvailable)
            weight *= noStoreFactor;
        return -weight / std::log(uniform);
    }

    /// The candidates of one cell by score, best first, without regard to other cells.
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

} // namespace

std::vector<std::vector<size_t>> rankCellOwners(const std::vector<CellCandidates>& cells)
{
    std::vector<std::vector<size_t>> ranks;
    if (cells.empty())
        return ranks;
    const std::vector<OwnerCandidate>& hosts = cells.front().hosts;
    const bool anyStore = std::any_of(hosts.begin(), hosts.end(), [](const auto& host) { return host.storeAvailable; });
    const auto weightOf = [anyStore](const OwnerCandidate& host) {
        return anyStore && !host.storeAvailable ? 0.0 : static_cast<double>(std::max<int64_t>(host.weight, 1));
    };
    const double total = std::accumulate(
        hosts.begin(), hosts.end(), 0.0, [&](double sum, const OwnerCandidate& host) { return sum + weightOf(host); });
    std::vector<double> left;
    left.reserve(hosts.size());
    for (const OwnerCandidate& host : hosts)
        left.push_back(std::ceil(static_cast<double>(cells.size()) * weightOf(host) / total));
    for (const CellCandidates& cell : cells) {
        std::vector<size_t> order = rankOwners(cell.cell, cell.hosts);
        std::stable_partition(order.begin(), order.end(), [&](size_t host) { return left[host] > 0; });
        left[order.front()] -= 1;
        ranks.push_back(std::move(order));
    }
    return ranks;
}

} // namespace Policy
