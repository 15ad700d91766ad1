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
    constexpr double lateFactor = 0.001;
    /// Steps of the search for the shares; they narrow a range of cells per weight to a millionth.
    constexpr int bisections = 20;
    constexpr double roundingSlack = 1e-3;

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
        if (candidate.late)
            weight *= lateFactor;
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

    /// Number of cells that each host may rank first for: whole numbers in proportion to the weights whose sum is the
    /// smallest that covers all cells. The share of a host that is too small for a cell is 0 as long as the others
    /// cover all cells.
    std::vector<size_t> sharesOf(const std::vector<double>& weights, size_t cells)
    {
        const auto sharesAt = [&](double cellsPerWeight) {
            std::vector<size_t> shares;
            shares.reserve(weights.size());
            for (const double weight : weights)
                shares.push_back(static_cast<size_t>(cellsPerWeight * weight + roundingSlack));
            return shares;
        };
        const auto covers = [&](double cellsPerWeight) {
            const std::vector<size_t> shares = sharesAt(cellsPerWeight);
            return std::accumulate(shares.begin(), shares.end(), size_t { 0 }) >= cells;
        };
        // The heaviest host alone covers all cells at the upper bound.
        double low = 0;
        double high = static_cast<double>(cells) / *std::max_element(weights.begin(), weights.end());
        for (int halving = 0; halving < bisections; ++halving) {
            const double middle = (low + high) / 2;
            (covers(middle) ? high : low) = middle;
        }
        return sharesAt(high);
    }

    /// Whether the hosts that are in time have at least half of the weight of those with access to the store.
    bool isMinorityLate(const std::vector<OwnerCandidate>& hosts)
    {
        int64_t all = 0;
        int64_t late = 0;
        for (const OwnerCandidate& host : hosts) {
            const int64_t weight = host.storeAvailable ? std::max<int64_t>(host.weight, 1) : 0;
            all += weight;
            late += host.late ? weight : 0;
        }
        return 2 * late <= all;
    }

    /// The weight of each host; 0 if it shouldn't own a cell while others can.
    std::vector<double> usableWeights(const std::vector<OwnerCandidate>& hosts)
    {
        const auto isUsable = [](const OwnerCandidate& host) { return host.storeAvailable && !host.late; };
        const bool anyUsable = std::any_of(hosts.begin(), hosts.end(), isUsable);
        std::vector<double> weights;
        weights.reserve(hosts.size());
        for (const OwnerCandidate& host : hosts)
            weights.push_back(
                anyUsable && !isUsable(host) ? 0.0 : static_cast<double>(std::max<int64_t>(host.weight, 1)));
        return weights;
    }

    /// Lateness counts only as long as the hosts that are in time can take the cells.
    void ignoreCommonLateness(std::vector<OwnerCandidate>& hosts)
    {
        if (isMinorityLate(hosts))
            return;
        for (OwnerCandidate& host : hosts)
            host.late = false;
    }

} // namespace

std::vector<bool> mayOwnCells(std::vector<OwnerCandidate> hosts, size_t cells)
{
    if (hosts.empty() || cells == 0)
        return std::vector<bool>(hosts.size(), true);
    ignoreCommonLateness(hosts);
    const std::vector<size_t> shares = sharesOf(usableWeights(hosts), cells);
    std::vector<bool> may;
    may.reserve(shares.size());
    for (const size_t share : shares)
        may.push_back(share > 0);
    return may;
}

std::vector<std::vector<size_t>> rankCellOwners(std::vector<CellCandidates> cells)
{
    std::vector<std::vector<size_t>> ranks;
    if (cells.empty())
        return ranks;
    for (CellCandidates& cell : cells)
        ignoreCommonLateness(cell.hosts);
    const std::vector<double> weights = usableWeights(cells.front().hosts);
    std::vector<size_t> left = sharesOf(weights, cells.size());
    for (const CellCandidates& cell : cells) {
        std::vector<size_t> order = rankOwners(cell.cell, cell.hosts);
        std::stable_partition(order.begin(), order.end(), [&](size_t host) { return left[host] > 0; });
        --left[order.front()];
        ranks.push_back(std::move(order));
    }
    return ranks;
}

} // namespace Policy
