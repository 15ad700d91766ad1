// Keeps the daemon's row in the store and reads the rows of the others.
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

/// Store calls: at most three at registration, then one every renewInterval; a listing at start and every
/// listInterval where `isLister` says so. While the store fails, one try of each every retryInterval.
class SessionKeeper {
public:
    using AddressReceiver = std::function<void(const std::string& address)>;

    SessionKeeper(const Scheduler::ServiceContext&, Scheduler::StorePort&, const Scheduler::PeerInfo& self,
        const MembershipSettings&);
    ~SessionKeeper();
    SessionKeeper(const SessionKeeper&) = delete;
    SessionKeeper& operator=(const SessionKeeper&) = delete;

    void start(std::function<bool()> isLister, AddressReceiver);
    /// Removes the row. Nothing is written after this.
    void stop();

private:
    void renew();
    void grant();
    void writeRow(Common::StoreRevision expected);
    void resolveConflict();
    void listMembers();
    void handleMembers(const std::vector<Scheduler::StoreValue>&);
    void scheduleRenew(Common::Duration);
    void scheduleList(Common::Duration);
    std::string key() const;

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    Scheduler::PeerInfo m_self;
    MembershipSettings m_settings;
    std::function<bool()> m_isLister;
    AddressReceiver m_receiver;
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
