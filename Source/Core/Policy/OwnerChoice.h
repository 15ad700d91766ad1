// Which host should own a cell.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Policy {

struct OwnerCandidate {
    std::string host;
    /// What it can carry.
    int64_t weight = 0;
    bool sameDomain = false;
    bool sameRegion = false;
    /// It can write to the store.
    bool storeAnswers = true;
};

/// The candidates, the best first, as indices. Weighted rendezvous hashing: a host that comes or goes moves only the
/// cells that it gains or loses. Hosts of the cell's own domain and region go first.
std::vector<size_t> rankOwners(std::string_view cell, const std::vector<OwnerCandidate>&);

/// A cell and the hosts as they stand to it: the same hosts in the same order for each cell.
struct OwnedCandidates {
    std::string cell;
    std::vector<OwnerCandidate> hosts;
};

/// The same for all cells together: the best of each cell comes first, unless it has its share of the cells before it,
/// by what it can carry. The load it answers: a small host that chance makes the first choice for several cells, and
/// that answers all of their callers late.
std::vector<std::vector<size_t>> spreadOwners(const std::vector<OwnedCandidates>&);

} // namespace Policy
