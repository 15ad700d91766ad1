// Registers the daemon in the store under a lease, and lists the addresses of the other registered daemons.
// MembershipService uses it to discover peers.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Membership/MembershipSettings.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/ServiceContext.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Scheduler {
class StorePort;
struct StoreValue;
}

namespace Membership {

/// Store calls: at most three at registration, then one every renewInterval; a listing at start, and every listInterval
/// while `isLister` returns true. While the store fails, one retry of each every retryInterval.
class SessionKeeper {
public:
    using AddressReceiver = std::function<void(const std::string& address)>;

    SessionKeeper(const Scheduler::ServiceContext&, Scheduler::StorePort&, const Scheduler::PeerInfo& self,
        const MembershipSettings&);
    ~SessionKeeper();
    SessionKeeper(const SessionKeeper&) = delete;
    SessionKeeper& operator=(const SessionKeeper&) = delete;

    /// Calls the receiver with the address of each listed row, this daemon's own included.
    void start(std::function<bool()> isLister, AddressReceiver);
    /// Removes the row; no later call writes it again.
    void stop();

private:
    void renew();
    void requestLease();
    void writeRow(Common::StoreRevision expected);
    void resolveConflict();
    void listMembers();
    void handleMembers(const std::vector<Scheduler::StoreValue>&);
    void scheduleRenewal(Common::Duration);
    void scheduleList(Common::Duration);
    std::string key() const;

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    Scheduler::PeerInfo m_self;
    MembershipSettings m_settings;
    std::function<bool()> m_isLister;
    AddressReceiver m_receiver;
    /// Empty until one is granted, and after it was lost.
    Common::LeaseId m_lease;
    /// Revision of the written row; zero until it is written under m_lease.
    Common::StoreRevision m_revision;
    bool m_listedOnce = false;
    bool m_stopped = false;
    Scheduler::TimerId m_renewTimer;
    Scheduler::TimerId m_listTimer;
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
