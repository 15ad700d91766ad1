// The platform's host list of a domain as daemons pass it on.
#pragma once

#include "Common/HybridTime.h"
#include "Common/Result.h"
#include "Scheduler/HostEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Membership {

/// The reply to "fleet.hosts", whose parameters are {"after": {"wall", "counter"}}: the list that the caller has.
/// Empty `fetchedAt`: nothing newer than that is known.
struct HostListMessage {
    /// When the list was read from the store. Of two lists the later one counts.
    Common::HybridTime fetchedAt;
    std::vector<Scheduler::HostEntry> hosts;
};

nlohmann::json toJson(const HostListMessage&);
Common::Result<HostListMessage> hostListFromJson(const nlohmann::json&);
nlohmann::json toJson(Common::HybridTime);
Common::HybridTime hybridTimeFromJson(const nlohmann::json&);

} // namespace Membership
