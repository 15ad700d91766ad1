// Rates and time limits of membership.
#pragma once

#include "Common/Units.h"

#include <string>
#include <vector>

namespace Membership {

struct MembershipSettings {
    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    Common::Duration regionHeartbeatInterval = std::chrono::seconds(2);
    Common::Duration remoteHeartbeatInterval = std::chrono::seconds(5);
    /// A peer that was silent for this many of its intervals is down.
    int64_t silentIntervals = 4;
    /// Every so many heartbeats to a peer carry the addresses of known peers.
    uint32_t gossipEvery = 8;
    /// How often an address is tried that does not answer, and when it is forgotten unless it is a seed.
    Common::Duration probeInterval = std::chrono::seconds(2);
    Common::Duration forgetAfter = std::chrono::minutes(2);
    Common::Duration callTimeout = std::chrono::milliseconds(1000);
    /// Calls to the store: a renewal every renewInterval a daemon, a listing every listInterval a domain,
    /// and while it fails one try every retryInterval.
    Common::Duration sessionTimeToLive = std::chrono::seconds(30);
    Common::Duration renewInterval = std::chrono::seconds(10);
    Common::Duration listInterval = std::chrono::seconds(30);
    Common::Duration retryInterval = std::chrono::seconds(5);
    /// "IP:port" of daemons to ask when the store is away.
    std::vector<std::string> seeds;
};

} // namespace Membership
