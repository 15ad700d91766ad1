// The host list of a failure domain as daemons send it to each other, and its JSON form.
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
    /// When the list was requested from the store. A later list replaces an earlier one.
    Common::HybridTime fetchedAt;
    uint64_t digest = 0;
    /// Empty when the caller already has the same list.
    std::optional<std::vector<Scheduler::HostEntry>> hosts;
};

nlohmann::json toJson(const HostListMessage&);
/// Fails with ProtocolError when a member is missing or of the wrong type.
Common::Result<HostListMessage> hostListFromJson(const nlohmann::json&);
/// Equal for equal rows in the same order.
uint64_t digestOf(const std::vector<Scheduler::HostEntry>&);

} // namespace Membership
