// The message by which daemons tell each other that they are alive.
#pragma once

#include "Common/HybridTime.h"
#include "Common/Result.h"
#include "Scheduler/PeerInfo.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Membership {

/// Sent as "membership.heartbeat"; the reply is the receiver's own message.
struct HeartbeatMessage {
    Scheduler::PeerInfo sender;
    /// When the sender started, on its wall clock; a later start replaces an earlier one at the same address.
    int64_t startedAtMilliseconds = 0;
    Common::HybridTime time;
    /// The sender is about to end.
    bool leaving = false;
    /// Addresses of other daemons that the sender hears from.
    std::vector<std::string> knownAddresses;
};

nlohmann::json toJson(const HeartbeatMessage&);
Common::Result<HeartbeatMessage> heartbeatFromJson(const nlohmann::json&);

} // namespace Membership
