// The platform's host list of a domain as daemons pass it on.
#pragma once

#include "Common/HybridTime.h"
#include "Common/Result.h"
#include "Scheduler/HostEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace Membership {

/// The reply to "fleet.hosts", whose parameters are {"digest": number}: the digest of the list that the caller has.
struct HostListMessage {
    /// When the list was read from the store. Of two lists the later one counts.
    Common::HybridTime fetchedAt;
    uint64_t digest = 0;
    /// Nothing when the caller has the same list already.
    std::optional<std::vector<Scheduler::HostEntry>> hosts;
};

nlohmann::json toJson(const HostListMessage&);
Common::Result<HostListMessage> hostListFromJson(const nlohmann::json&);
/// The same for the same rows in the same order.
uint64_t digestOf(const std::vector<Scheduler::HostEntry>&);

} // namespace Membership
