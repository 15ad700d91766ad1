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

} // namespace Policy
