// Keeps the host list of the daemon's domain, through outages of the store.
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

/// One daemon a domain, the lister, asks the store every hostListInterval; the others ask the lister, and anyone asks
/// a random peer when that fails. Store calls: one every hostListInterval a domain; while lists stay away, one every
/// fourth interval a daemon besides. The last list is kept until there is a later one.
class HostListCache {
public:
    using Listener = std::function<void(const std::vector<Scheduler::HostEntry>&)>;

    HostListCache(const Scheduler::ServiceContext&, Scheduler::StorePort&, Scheduler::PeerPort&,
        const Scheduler::MembershipView&, const FleetSettings&);
    ~HostListCache();
    HostListCache(const HostListCache&) = delete;
    HostListCache& operator=(const HostListCache&) = delete;

    void start(Listener);

private:
    void poll();
    void askStore();
    void askPeer(const std::string& address);
    void askAnyPeer();
    bool isOverdue() const;
    /// The daemon of the domain that asks the store.
    Scheduler::PeerInfo lister() const;
    std::vector<Scheduler::PeerInfo> domainPeers() const;
    void serve(const nlohmann::json& params, const std::function<void(Common::Result<nlohmann::json>)>& reply) const;
    void take(const HostListMessage&);

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    Scheduler::PeerPort& m_peers;
    const Scheduler::MembershipView& m_membership;
    FleetSettings m_settings;
    Listener m_listener;
    HostListMessage m_list;
    /// When the list last proved to be current.
    Common::MonotonicTime m_refreshedAt;
    Scheduler::TimerId m_timer;
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
