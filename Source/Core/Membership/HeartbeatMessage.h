// The heartbeat that daemons exchange, and its JSON form.
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
    /// When the message was made.
    Common::HybridTime time;
    /// The sender is about to stop.
    bool leaving = false;
    /// Addresses of the daemons that the sender counts as alive, its own included. Empty in most messages; a message
    /// that has some asks for the receiver's in the reply.
    std::vector<std::string> knownAddresses;
};

nlohmann::json toJson(const HeartbeatMessage&);
/// Fails with ProtocolError when a member is missing or of the wrong type.
Common::Result<HeartbeatMessage> heartbeatFromJson(const nlohmann::json&);

} // namespace Membership
