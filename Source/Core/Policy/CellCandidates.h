// A cell and the hosts that could own it.
#pragma once

#include "Policy/OwnerCandidate.h"

#include <string>
#include <vector>

namespace Policy {

/// A cell and its candidate owners. All cells ranked together list the same hosts in the same order.
struct CellCandidates {
    std::string cell;
    std::vector<OwnerCandidate> hosts;
};

} // namespace Policy
