// A cell and the hosts that could own it.
#pragma once

#include "Policy/OwnerCandidate.h"

#include <string>
#include <vector>

namespace Policy {

/// A cell and the hosts as they stand to it: the same hosts in the same order for each cell.
struct CellCandidates {
    std::string cell;
    std::vector<OwnerCandidate> hosts;
};

} // namespace Policy
