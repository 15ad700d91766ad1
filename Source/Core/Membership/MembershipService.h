// Finds the other daemons and keeps track of which are alive.
#pragma once

#include "Common/Result.h"
#include "Membership/HeartbeatMessage.h"
#include "Membership/MembershipSettings.h"
#include "Membership/SessionKeeper.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/ServiceContext.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace Scheduler {
class PeerPort;
class StorePort;
}

namespace Membership {

/// Peers are found from the store, from seeds and from each other's heartbeats, whichever works.
class MembershipService final : public Scheduler::MembershipView {
public:
    MembershipService(const Scheduler::ServiceContext&, Scheduler::PeerPort&, Scheduler::StorePort&,
        Scheduler::PeerInfo self, MembershipSettings);
    ~MembershipService() override;
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /// Serves heartbeats and begins to send them.
    void start();
    /// Says goodbye to the peers and gives up the store's session; `done` is called at once or after a call timeout.
    void leave(const std::function<void()>& done);
    void setDraining(bool draining);
    void setConfigRevision(Common::ConfigRevision);
    void updateLoad(int64_t freeSlots, int64_t totalSlots, int64_t queuedRequests);

    const Scheduler::PeerInfo& self() const override { return m_self; }
    std::vector<Scheduler::PeerInfo> livePeers() const override;
    std::optional<Scheduler::PeerInfo> find(const Common::DaemonId&) const override;
    void onChange(std::function<void()>) override;

private:
    /// One address that a daemon answers, or may answer.
    struct Row {
        bool seed = false;
        /// True while the daemon at the address counts as alive; `peer` is then its newest row.
        bool live = false;
        Scheduler::PeerInfo peer;
        int64_t startedAtMilliseconds = 0;
        /// The sender's stamp in its newest message; older ones are ignored.
        Common::HybridTime messageTime;
        Common::MonotonicTime lastHeartbeatAt;
        std::optional<Common::MonotonicTime> sentAt;
        uint32_t heartbeats = 0;
    };

    void tick();
    void checkSilence();
    void sendDueHeartbeats();
    bool isDue(const Row&) const;
    Common::Duration intervalOf(const Scheduler::PeerInfo&) const;
    void sendToAllLive(bool leaving, const std::function<void()>& done);
    void sendHeartbeat(const std::string& address, Row&, bool leaving, const std::function<void()>& done);
    HeartbeatMessage makeMessage(bool withAddresses, bool leaving);
    void handleMessage(const HeartbeatMessage&);
    void markLive(Row&, const HeartbeatMessage&);
    void markDown(Row&, const std::string& reason);
    void learnAddress(const std::string& address, bool seed);
    Row& rowOf(const std::string& address);
    void forgetOldRows();
    bool isSessionLister() const;
    void notify();

    Scheduler::ServiceContext m_context;
    Scheduler::PeerPort& m_peers;
    Scheduler::PeerInfo m_self;
    MembershipSettings m_settings;
    int64_t m_startedAtMilliseconds;
    SessionKeeper m_session;
    /// By address. Invariant: the daemon's own address has none.
    std::map<std::string, Row> m_rows;
    std::vector<std::function<void()>> m_listeners;
    Scheduler::TimerId m_timer;
    bool m_left = false;
    prometheus::Counter& m_heartbeatsSent;
    prometheus::Counter& m_heartbeatFailures;
    prometheus::Gauge& m_liveGauge;
    /// Callbacks that outlive the service find this expired.
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
