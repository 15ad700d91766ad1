// Interface to the platform's key-value store and host list.
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

/// Each call counts against the platform's rate limits. Values are at most one megabyte.
/// A write that fails with Timeout or ConnectionLost may have taken effect; one that fails with RevisionConflict or
/// ConnectFailed has not.
class StorePort {
public:
    virtual ~StorePort() = default;

    /// Yields an empty optional if the key does not exist.
    virtual void get(const std::string& key, Common::Callback<std::optional<StoreValue>>) = 0;
    /// Yields all keys with the prefix, in key order.
    virtual void list(const std::string& prefix, Common::Callback<std::vector<StoreValue>>) = 0;
    /// Writes the value if the key's revision is `expected` (zero: the key must not exist), and yields the new
    /// revision; otherwise fails with RevisionConflict. A key with a lease is removed when the lease expires.
    virtual void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
        const Common::LeaseId& lease, Common::Callback<Common::StoreRevision>)
        = 0;
    /// Removes the key if its revision is `expected`; otherwise fails with RevisionConflict.
    virtual void remove(const std::string& key, Common::StoreRevision expected, Common::Callback<Common::Done>) = 0;
    /// Waits at most `wait` for changes after `since` to keys with the prefix. Yields an empty batch if there are none.
    virtual void watch(
        const std::string& prefix, Common::StoreRevision since, Common::Duration wait, Common::Callback<StoreChanges>)
        = 0;
    virtual void grantLease(Common::Duration timeToLive, Common::Callback<Common::LeaseId>) = 0;
    /// Fails with NoAuthority if the lease has expired.
    virtual void renewLease(const Common::LeaseId&, Common::Callback<Common::Done>) = 0;
    /// Yields the hosts of a failure domain; the list may lag behind the actual state.
    virtual void listHosts(const Common::DomainId&, Common::Callback<std::vector<HostEntry>>) = 0;
};

} // namespace Scheduler
