// The store stand-in's data: keys with revisions, leases, watches and the lagging host list. Uses no sockets.
#pragma once

#include "Common/Result.h"
#include "Scheduler/HostEntry.h"
#include "Scheduler/StoreChanges.h"
#include "Scheduler/StoreValue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace StandIns {

/// Behaves as documented for the platform's store: one revision counter over all keys, compare-and-swap, leases.
class StoreState {
public:
    using Clock = std::function<Common::MonotonicTime()>;
    using Watcher = std::function<void(Scheduler::StoreChanges)>;
    static constexpr size_t maximumValueBytes = size_t { 1 } << 20;

    StoreState(Clock, Common::Duration hostListLag);

    std::optional<Scheduler::StoreValue> get(const std::string& key);
    std::vector<Scheduler::StoreValue> list(const std::string& prefix);
    /// Without `expected` the write is unconditional. Fails with RevisionConflict, NoAuthority (no such lease) or
    /// RequestTooLarge.
    Common::Result<Common::StoreRevision> put(const std::string& key, std::optional<Common::StoreRevision> expected,
        std::string value, const Common::LeaseId& lease);
    /// Without `expected` the key is removed unconditionally. Fails with RevisionConflict.
    Common::Result<Common::Done> remove(const std::string& key, std::optional<Common::StoreRevision> expected);
    Common::LeaseId grantLease(Common::Duration timeToLive);
    /// Fails with NoAuthority once the lease has expired.
    Common::Result<Common::Done> renewLease(const Common::LeaseId&);

    /// Returns the changes after `since` of keys with the prefix.
    Scheduler::StoreChanges changes(const std::string& prefix, Common::StoreRevision since);
    /// Calls `watcher` once: immediately if there are changes after `since`, else at the next change. Returns an id for
    /// cancelWatch().
    uint64_t watch(const std::string& prefix, Common::StoreRevision since, Watcher);
    void cancelWatch(uint64_t);

    /// Replaces the rows of the same workers; `replaceAll` removes all others. Readers see the change after the lag.
    void updateHosts(std::vector<Scheduler::HostEntry>, bool replaceAll);
    /// Replaces the whole list without the lag.
    void setHosts(const std::vector<Scheduler::HostEntry>&);
    /// An empty domain selects all hosts.
    std::vector<Scheduler::HostEntry> hosts(const Common::DomainId&);

    /// Removes expired leases with their keys. All calls on keys and leases do so first.
    void expireLeases();
    Common::StoreRevision revision() const { return m_revision; }

private:
    struct Entry {
        Scheduler::StoreValue value;
        Common::LeaseId lease;
    };
    struct Lease {
        Common::MonotonicTime expiresAt;
        Common::Duration timeToLive {};
        std::set<std::string> keys;
    };
    struct Watch {
        std::string prefix;
        Common::StoreRevision since;
        Watcher watcher;
    };
    struct HostUpdate {
        Common::MonotonicTime visibleAt;
        std::vector<Scheduler::HostEntry> rows;
        bool replaceAll = false;
    };

    void recordChange(const std::string& key);
    void detachLease(const std::string& key, const Common::LeaseId&);
    void erase(const std::string& key);
    void notifyWatchers(const std::string& key);
    void applyHosts(const std::vector<Scheduler::HostEntry>&, bool replaceAll);
    void applyDueHostUpdates();

    Clock m_clock;
    Common::Duration m_hostListLag;
    Common::StoreRevision m_revision;
    std::map<std::string, Entry> m_entries;
    /// The last change of every key that was ever written, by revision. Invariant: m_changedAt is the inverse map.
    std::map<uint64_t, std::string> m_lastChanges;
    std::map<std::string, uint64_t> m_changedAt;
    std::map<Common::LeaseId, Lease> m_leases;
    uint64_t m_lastLease = 0;
    std::map<uint64_t, Watch> m_watches;
    uint64_t m_lastWatch = 0;
    std::map<Common::WorkerId, Scheduler::HostEntry> m_hosts;
    std::deque<HostUpdate> m_hostUpdates;
};

} // namespace StandIns
