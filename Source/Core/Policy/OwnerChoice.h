// Which host should own a cell.
#pragma once

#include "Policy/CellCandidates.h"

#include <cstddef>
#include <vector>

namespace Policy {

/// For each cell its candidates, the best first, as indices. Weighted rendezvous hashing: a host that comes or goes
/// moves few cells but those that it gains or loses; hosts of the cell's own domain and region go first, and who has
/// its share of the cells before, by what it can carry, comes after those that haven't. The load it answers: a small
/// host that chance makes the first choice for several cells, and that answers all of their callers late.
std::vector<std::vector<size_t>> rankCellOwners(const std::vector<CellCandidates>&);

} // namespace Policy
