// A request to route, as input for Router.
#pragma once

#include "Common/Units.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/SpillScope.h"

#include <cstdint>
#include <vector>

namespace Policy {

struct RouteQuery {
    /// This daemon's own row.
    Scheduler::PeerInfo self;
    /// Daemons with a recent report; this one may be among them.
    std::vector<Scheduler::PeerInfo> peers;
    Scheduler::SpillScope spill = Scheduler::SpillScope::Region;
    /// Bytes that forwarding the request would send, answer included.
    int64_t bytes = 0;
    /// Time left until the deadline.
    Common::Duration timeLeft {};
};

} // namespace Policy
