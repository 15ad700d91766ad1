// Chooses which hosts watch which, so that a host's exchange with others doesn't grow with their number.
#pragma once

#include "Policy/RingHost.h"

#include <cstddef>
#include <vector>

namespace Policy {

/// For each host, the indices of the hosts that it sends heartbeats to and that notice its silence. Each host has
/// `maximumWatchers` of them where there are as many others: two of its own failure domain, so that most heartbeats
/// cross no link, and the rest of other domains, so that the loss of a domain is noticed outside. All hosts of a small
/// fleet watch each other. The choice depends on the hosts alone, not on their order, and changes little when one joins
/// or leaves.
std::vector<std::vector<size_t>> watchersOf(const std::vector<RingHost>&);

inline constexpr size_t maximumWatchers = 4;
/// In a fleet of up to this many hosts all watch each other.
inline constexpr size_t smallFleet = 10;

} // namespace Policy
