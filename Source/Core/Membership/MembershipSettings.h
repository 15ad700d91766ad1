// Intervals and timeouts of heartbeats and of the daemon's session in the store.
#pragma once

#include "Common/Units.h"

#include <string>
#include <vector>

namespace Membership {

struct MembershipSettings {
    /// To peers in the same failure domain, in the same region and in other regions.
    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    Common::Duration regionHeartbeatInterval = std::chrono::seconds(2);
    Common::Duration remoteHeartbeatInterval = std::chrono::seconds(5);
    /// A peer that was silent for this many of its intervals is down.
    int64_t silentIntervals = 4;
    /// One in this many heartbeats to a peer carries the addresses of known peers.
    uint32_t gossipEvery = 8;
    /// How often an address without a live daemon is tried, and after how long it is forgotten unless it is a seed.
    Common::Duration probeInterval = std::chrono::seconds(2);
    Common::Duration forgetAfter = std::chrono::minutes(2);
    Common::Duration callTimeout = std::chrono::milliseconds(1000);
    /// Calls to the store: one renewal per renewInterval and daemon, one listing per listInterval and domain, and one
    /// retry of each per retryInterval while they fail.
    Common::Duration sessionTimeToLive = std::chrono::seconds(30);
    Common::Duration renewInterval = std::chrono::seconds(10);
    Common::Duration listInterval = std::chrono::seconds(30);
    Common::Duration retryInterval = std::chrono::seconds(5);
    /// "IP:port" of daemons that are always tried, so that peers are found while the store is unavailable.
    std::vector<std::string> seeds;
};

} // namespace Membership
