// Discovers the other daemons, exchanges heartbeats with them and tracks which are alive.
// The other services of a daemon read the result through Scheduler::MembershipView.
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

/// Peers are discovered through the store, the seeds and the addresses in heartbeats; any one of these suffices.
class MembershipService final : public Scheduler::MembershipView {
public:
    MembershipService(const Scheduler::ServiceContext&, Scheduler::PeerPort&, Scheduler::StorePort&,
        Scheduler::PeerInfo self, MembershipSettings);
    ~MembershipService() override;
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /// Begins to serve and to send heartbeats.
    void start();
    /// Announces the stop to the live peers and removes the daemon's row from the store. `done` is called when all
    /// peers have answered or their calls have timed out; at once when there are none.
    void leave(const std::function<void()>& done);
    void setDraining(bool draining);
    void setConfigRevision(Common::ConfigRevision);
    void updateLoad(int64_t freeSlots, int64_t totalSlots, int64_t queuedRequests);

    const Scheduler::PeerInfo& self() const override { return m_self; }
    std::vector<Scheduler::PeerInfo> livePeers() const override;
    std::optional<Scheduler::PeerInfo> find(const Common::DaemonId&) const override;
    void onChange(std::function<void()>) override;

private:
    /// What is known of one address at which a daemon answers or may answer.
    struct Row {
        bool seed = false;
        /// True while the daemon at the address counts as alive; `peer` then describes it as of its newest message.
        bool live = false;
        Scheduler::PeerInfo peer;
        int64_t startedAtMilliseconds = 0;
        /// Time of the sender's newest message; older messages are ignored.
        Common::HybridTime messageTime;
        Common::MonotonicTime lastHeartbeatAt;
        /// When the last heartbeat was sent to it.
        std::optional<Common::MonotonicTime> sentAt;
        /// Heartbeats sent to it.
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
    /// By address. Invariant: holds no row for the daemon's own address.
    std::map<std::string, Row> m_rows;
    std::vector<std::function<void()>> m_listeners;
    Scheduler::TimerId m_timer;
    bool m_left = false;
    prometheus::Counter& m_heartbeatsSent;
    prometheus::Counter& m_heartbeatFailures;
    prometheus::Gauge& m_liveGauge;
    /// Expires with the service; callbacks that outlive it check this.
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
