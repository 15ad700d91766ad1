// Chooses the nearest peer with a newer revision and asks it for its document.
#include "Config/ConfigFetcher.h"

#include "Config/BoundedCall.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

namespace Config {

namespace {

    using Common::Result;
    using Scheduler::PeerInfo;

    /// 0: same domain, 1: same region, 2: another region.
    int distance(const PeerInfo& self, const PeerInfo& peer)
    {
        if (peer.domain == self.domain)
            return 0;
        return peer.region == self.region ? 1 : 2;
    }

    /// The peers at the smallest distance that have a revision above `known`.
    std::vector<PeerInfo> nearestWithNewer(
        const PeerInfo& self, const std::vector<PeerInfo>& peers, Common::ConfigRevision known)
    {
        std::vector<PeerInfo> nearest;
        for (const PeerInfo& peer : peers) {
            if (peer.id == self.id || peer.configRevision <= known)
                continue;
            if (!nearest.empty() && distance(self, peer) > distance(self, nearest.front()))
                continue;
            if (!nearest.empty() && distance(self, peer) < distance(self, nearest.front()))
                nearest.clear();
            nearest.push_back(peer);
        }
        return nearest;
    }

} // namespace

ConfigFetcher::ConfigFetcher(Scheduler::Runtime& runtime, Scheduler::PeerPort& peers,
    const ConfigServiceOptions& options, DocumentHandler onDocument)
    : m_runtime(runtime)
    , m_peers(peers)
    , m_options(options)
    , m_onDocument(std::move(onDocument))
{
}

void ConfigFetcher::fetchIfNewer(
    const PeerInfo& self, const std::vector<PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOtherDomains)
{
    if (m_fetching)
        return;
    const std::optional<PeerInfo> chosen = choosePeer(self, peers, known, mayAskOtherDomains);
    if (chosen)
        fetch(*chosen, known);
}

std::optional<PeerInfo> ConfigFetcher::choosePeer(
    const PeerInfo& self, const std::vector<PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOtherDomains)
{
    const std::vector<PeerInfo> nearest = nearestWithNewer(self, peers, known);
    const bool onlyOtherDomains = !nearest.empty() && distance(self, nearest.front()) > 0;
    if (!onlyOtherDomains)
        m_onlyOtherDomainsSince.reset();
    if (nearest.empty())
        return std::nullopt;
    if (onlyOtherDomains && !mayAskOtherDomains) {
        if (!m_onlyOtherDomainsSince)
            m_onlyOtherDomainsSince = m_runtime.now();
        if (m_runtime.now() - *m_onlyOtherDomainsSince < m_options.otherDomainDelay)
            return std::nullopt;
    }
    // Chosen at random, so that a peer that can't be reached is not asked every time.
    return nearest[m_runtime.random()() % nearest.size()];
}

void ConfigFetcher::fetch(const PeerInfo& peer, Common::ConfigRevision known)
{
    m_fetching = true;
    const auto receive = [weak = weak_from_this()](const Result<nlohmann::json>& reply) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_fetching = false;
        if (!reply)
            return;
        if (const Result<ConfigDocument> document = documentFromJson(*reply))
            self->m_onDocument(*document);
    };
    m_peers.call(peer.address, "config.get", nlohmann::json { { "above", known.value } }, m_options.peerTimeout,
        withTimeout<nlohmann::json>(m_runtime, m_options.peerTimeout, receive));
}

} // namespace Config
