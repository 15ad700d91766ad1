// Caches the host list of the daemon's failure domain, so that it stays available while the store is down.
#pragma once

#include "Common/Result.h"
#include "Membership/FleetSettings.h"
#include "Membership/HostListMessage.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/ServiceContext.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Scheduler {
class MembershipView;
class PeerPort;
class StorePort;
}

namespace Membership {

/// One daemon of each domain, the lister, reads the list from the store every hostListInterval; the others get it from
/// the lister. A daemon whose read from the store fails asks a random peer. Store calls: one per hostListInterval and
/// domain; while a daemon gets no current list, it adds one every fourth interval. The last list is kept until a later
/// one arrives.
class HostListCache {
public:
    using Listener = std::function<void(const std::vector<Scheduler::HostEntry>&)>;

    HostListCache(const Scheduler::ServiceContext&, Scheduler::StorePort&, Scheduler::PeerPort&,
        const Scheduler::MembershipView&, const FleetSettings&);
    ~HostListCache();
    HostListCache(const HostListCache&) = delete;
    HostListCache& operator=(const HostListCache&) = delete;

    /// Calls the listener with each new list, from now on.
    void start(Listener);

private:
    void poll();
    void fetchFromStore();
    void fetchFromPeer(const std::string& address);
    void fetchFromRandomPeer();
    bool isOverdue() const;
    /// The daemon of the domain that reads the list from the store.
    Scheduler::PeerInfo lister() const;
    std::vector<Scheduler::PeerInfo> domainPeers() const;
    void serve(const nlohmann::json& params, const std::function<void(Common::Result<nlohmann::json>)>& reply) const;
    void applyList(const HostListMessage&);

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    Scheduler::PeerPort& m_peers;
    const Scheduler::MembershipView& m_membership;
    FleetSettings m_settings;
    Listener m_listener;
    HostListMessage m_list;
    /// When the list was last confirmed to be current, or when the store was last read instead because it was overdue.
    Common::MonotonicTime m_refreshedAt;
    Scheduler::TimerId m_timer;
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
