// Ranks the hosts that could own each cell.
#pragma once

#include "Policy/CellCandidates.h"

#include <cstddef>
#include <vector>

namespace Policy {

/// For each cell, the indices of its candidates, best first. Weighted rendezvous hashing: when a host joins or leaves,
/// few cells move except those that it gains or loses. Hosts in the cell's domain and region are preferred. A host that
/// already ranks first for its share of the cells, by weight, comes after the hosts that don't. A cell can't be
/// divided, so a host whose share is below one cell ranks first for none while larger hosts can take them all: it would
/// answer all callers of the cell late. Hosts without access to the store, and late ones, rank first for none while
/// others can. Lateness is ignored when hosts with more than half of the weight are late: then the load is the cause,
/// and moving cells would only move it.
std::vector<std::vector<size_t>> rankCellOwners(std::vector<CellCandidates>);

/// For each host, whether its share of `cells` cells is one at least: only such hosts need to be ranked.
std::vector<bool> mayOwnCells(std::vector<OwnerCandidate> hosts, size_t cells);

} // namespace Policy
