// Chooses a peer and asks it for its document.
#include "Config/ConfigFetcher.h"

#include "Config/BoundedCall.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

namespace Config {

namespace {

    using Common::Result;
    using Scheduler::PeerInfo;

    /// Smaller is nearer.
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

ConfigFetcher::ConfigFetcher(
    Scheduler::Runtime& runtime, Scheduler::PeerPort& peers, const ConfigServiceOptions& options, Learn learn)
    : m_runtime(runtime)
    , m_peers(peers)
    , m_options(options)
    , m_learn(std::move(learn))
{
}

void ConfigFetcher::fetchIfNewer(
    const PeerInfo& self, const std::vector<PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOutside)
{
    if (m_fetching)
        return;
    const std::optional<PeerInfo> chosen = choose(self, peers, known, mayAskOutside);
    if (chosen)
        fetch(*chosen, known);
}

std::optional<PeerInfo> ConfigFetcher::choose(
    const PeerInfo& self, const std::vector<PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOutside)
{
    const std::vector<PeerInfo> nearest = nearestWithNewer(self, peers, known);
    const bool onlyOutside = !nearest.empty() && distance(self, nearest.front()) > 0;
    if (!onlyOutside)
        m_onlyOutsideSince.reset();
    if (nearest.empty())
        return std::nullopt;
    if (onlyOutside && !mayAskOutside) {
        if (!m_onlyOutsideSince)
            m_onlyOutsideSince = m_runtime.now();
        if (m_runtime.now() - *m_onlyOutsideSince < m_options.outsideDelay)
            return std::nullopt;
    }
    // At random, so that a peer that can't be reached is not asked for ever.
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
            self->m_learn(*document);
    };
    m_peers.call(peer.address, "config.get", nlohmann::json { { "above", known.value } }, m_options.peerTimeout,
        bounded<nlohmann::json>(m_runtime, m_options.peerTimeout, receive));
}

} // namespace Config
