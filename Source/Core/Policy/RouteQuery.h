// Asks where a request could go.
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
    /// Daemons heard from lately; this one may be among them.
    std::vector<Scheduler::PeerInfo> peers;
    Scheduler::SpillScope spill = Scheduler::SpillScope::Region;
    /// What passing the request on would send, answer included.
    int64_t bytes = 0;
    /// Time left until the deadline.
    Common::Duration timeLeft {};
};

} // namespace Policy
