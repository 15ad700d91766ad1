// A membership view whose live daemons are set by the test; daemons may have different views.
#pragma once

#include "Scheduler/MembershipView.h"

#include <algorithm>
#include <utility>

namespace LedgerTests {

class TestMembership final : public Scheduler::MembershipView {
public:
    explicit TestMembership(const std::string& name)
    {
        m_self.id = Common::DaemonId(name);
        m_self.address = name;
        m_peers.push_back(m_self);
    }

    const Scheduler::PeerInfo& self() const override { return m_self; }
    std::vector<Scheduler::PeerInfo> livePeers() const override { return m_peers; }
    std::optional<Scheduler::PeerInfo> find(const Common::DaemonId& id) const override
    {
        const auto found
            = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return peer.id == id; });
        return found == m_peers.end() ? std::nullopt : std::optional(*found);
    }
    void onChange(std::function<void()> action) override { m_listeners.push_back(std::move(action)); }

    /// Makes the daemon itself and `others` the live daemons, without calling the listeners.
    void seePeers(const std::vector<Scheduler::PeerInfo>& others)
    {
        m_peers = { m_self };
        m_peers.insert(m_peers.end(), others.begin(), others.end());
    }
    void see(const std::vector<std::string>& names)
    {
        m_peers.clear();
        for (const std::string& name : names) {
            Scheduler::PeerInfo peer;
            peer.id = Common::DaemonId(name);
            peer.address = name;
            m_peers.push_back(peer);
        }
        for (const auto& listener : m_listeners)
            listener();
    }

private:
    Scheduler::PeerInfo m_self;
    std::vector<Scheduler::PeerInfo> m_peers;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace LedgerTests
