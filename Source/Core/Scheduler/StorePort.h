// The platform's key-value store and host list, as the core sees them.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Scheduler/HostEntry.h"
#include "Scheduler/StoreChanges.h"
#include "Scheduler/StoreValue.h"

#include <optional>
#include <string>
#include <vector>

namespace Scheduler {

/// Each call counts against the platform's limits.
/// A failed write with Timeout or ConnectionLost may have taken effect; RevisionConflict and ConnectFailed did not.
/// Values are at most one megabyte.
class StorePort {
public:
    virtual ~StorePort() = default;

    /// Yields nothing inside the result when the key does not exist.
    virtual void get(const std::string& key, Common::Callback<std::optional<StoreValue>>) = 0;
    /// All keys with the prefix, in key order.
    virtual void list(const std::string& prefix, Common::Callback<std::vector<StoreValue>>) = 0;
    /// Writes if the key's revision is `expected` (zero: the key must not exist). A key with a lease goes when the
    /// lease lapses. Yields the new revision; RevisionConflict when another revision was found.
    virtual void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
        const Common::LeaseId& lease, Common::Callback<Common::StoreRevision>)
        = 0;
    /// Removes the key if its revision is `expected`.
    virtual void remove(const std::string& key, Common::StoreRevision expected, Common::Callback<Common::Done>) = 0;
    /// Waits until a key with the prefix changes after `since`, at most `wait`; yields an empty batch on no change.
    virtual void watch(
        const std::string& prefix, Common::StoreRevision since, Common::Duration wait, Common::Callback<StoreChanges>)
        = 0;
    virtual void grantLease(Common::Duration timeToLive, Common::Callback<Common::LeaseId>) = 0;
    virtual void renewLease(const Common::LeaseId&, Common::Callback<Common::Done>) = 0;
    /// The lagging list of hosts in a domain.
    virtual void listHosts(const Common::DomainId&, Common::Callback<std::vector<HostEntry>>) = 0;
};

} // namespace Scheduler
