// Reads the host list of one failure domain from the store or a peer, caches it and serves it to peers.
#include "Membership/HostListCache.h"

#include "Common/Hash.h"
#include "Common/Timeline.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/StorePort.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

    constexpr const char* hostsMethod = "fleet.hosts";
    /// Polls without a current list after which a daemon that isn't the lister reads the store as well.
    constexpr int64_t overduePolls = 4;

} // namespace

HostListCache::HostListCache(const Scheduler::ServiceContext& context, Scheduler::StorePort& store,
    Scheduler::PeerPort& peers, const Scheduler::MembershipView& membership, const FleetSettings& settings)
    : m_context(context)
    , m_store(store)
    , m_peers(peers)
    , m_membership(membership)
    , m_settings(settings)
    , m_lifetime(std::make_shared<int>())
{
}

HostListCache::~HostListCache() { m_context.runtime.cancel(m_timer); }

void HostListCache::start(Listener listener)
{
    m_listener = std::move(listener);
    m_refreshedAt = m_context.runtime.now();
    m_peers.serve(hostsMethod,
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](const nlohmann::json& params, const auto& reply) {
            if (lifetime.lock())
                serve(params, reply);
        });
    poll();
}

void HostListCache::poll()
{
    m_timer = m_context.runtime.schedule(m_settings.hostListInterval, [this] { poll(); });
    const Scheduler::PeerInfo target = lister();
    if (target.id == m_membership.self().id) {
        fetchFromStore();
        return;
    }
    if (isOverdue()) {
        m_refreshedAt = m_context.runtime.now();
        fetchFromStore();
    }
    fetchFromPeer(target.address);
}

void HostListCache::fetchFromStore()
{
    const Common::HybridTime askedAt = m_context.timeline.stampNow();
    m_store.listHosts(m_membership.self().domain,
        [this, askedAt, lifetime = std::weak_ptr<int>(m_lifetime)](
            const Common::Result<std::vector<Scheduler::HostEntry>>& hosts) {
            if (!lifetime.lock())
                return;
            if (!hosts) {
                fetchFromRandomPeer();
                return;
            }
            applyList(HostListMessage { .fetchedAt = askedAt, .digest = digestOf(*hosts), .hosts = *hosts });
        });
}

void HostListCache::fetchFromPeer(const std::string& address)
{
    m_peers.call(address, hostsMethod, { { "digest", m_list.hosts ? m_list.digest : 0 } }, m_settings.hostListTimeout,
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](const Common::Result<nlohmann::json>& reply) {
            if (!lifetime.lock() || !reply)
                return;
            const Common::Result<HostListMessage> message = hostListFromJson(*reply);
            if (message)
                applyList(*message);
        });
}

void HostListCache::fetchFromRandomPeer()
{
    std::vector<Scheduler::PeerInfo> peers = domainPeers();
    std::erase_if(peers, [this](const Scheduler::PeerInfo& peer) { return peer.id == m_membership.self().id; });
    if (peers.empty())
        return;
    fetchFromPeer(peers[m_context.runtime.random()() % peers.size()].address);
}

bool HostListCache::isOverdue() const
{
    return m_context.runtime.now() - m_refreshedAt >= m_settings.hostListInterval * overduePolls;
}

Scheduler::PeerInfo HostListCache::lister() const
{
    const std::vector<Scheduler::PeerInfo> peers = domainPeers();
    const std::string& key = m_membership.self().domain.value();
    return *std::max_element(
        peers.begin(), peers.end(), [&](const Scheduler::PeerInfo& left, const Scheduler::PeerInfo& right) {
            return Common::rendezvousWeight(key, left.id.value()) < Common::rendezvousWeight(key, right.id.value());
        });
}

std::vector<Scheduler::PeerInfo> HostListCache::domainPeers() const
{
    std::vector<Scheduler::PeerInfo> peers = m_membership.livePeers();
    std::erase_if(peers, [this](const Scheduler::PeerInfo& peer) { return peer.domain != m_membership.self().domain; });
    return peers;
}

void HostListCache::serve(
    const nlohmann::json& params, const std::function<void(Common::Result<nlohmann::json>)>& reply) const
{
    if (!m_list.hosts) {
        reply(Common::Failure { Common::ErrorCode::PeerUnavailable, "no host list is known here yet", std::nullopt });
        return;
    }
    const auto digest = params.find("digest");
    const bool hasSame = digest != params.end() && digest->is_number_unsigned() && *digest == m_list.digest;
    HostListMessage message = m_list;
    if (hasSame)
        message.hosts.reset();
    reply(toJson(message));
}

void HostListCache::applyList(const HostListMessage& message)
{
    m_context.timeline.clock().receive(message.fetchedAt);
    if (message.fetchedAt <= m_list.fetchedAt)
        return;
    const bool isSame = m_list.hosts && message.digest == m_list.digest;
    if (!isSame && !message.hosts)
        return;
    m_refreshedAt = m_context.runtime.now();
    m_list.fetchedAt = message.fetchedAt;
    if (isSame)
        return;
    m_list = message;
    m_listener(*m_list.hosts);
}

} // namespace Membership
