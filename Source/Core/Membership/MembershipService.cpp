// Sends and handles heartbeats between daemons, and keeps the table of peers.
#include "Membership/MembershipService.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Scheduler/PeerPort.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

    constexpr const char* heartbeatMethod = "membership.heartbeat";

} // namespace

MembershipService::MembershipService(const Scheduler::ServiceContext& context, Scheduler::PeerPort& peers,
    Scheduler::StorePort& store, Scheduler::PeerInfo self, MembershipSettings settings)
    : m_context(context)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_startedAtMilliseconds(context.runtime.wallMilliseconds())
    , m_session(context, store, m_self, m_settings)
    , m_heartbeatsSent(
          context.metrics.counter("lavendercart_heartbeats_sent_total", "Heartbeats sent to other daemons"))
    , m_heartbeatFailures(
          context.metrics.counter("lavendercart_heartbeat_failures_total", "Heartbeats that were not answered"))
    , m_liveGauge(context.metrics.gauge("lavendercart_live_daemons", "Daemons that count as alive, this one included"))
    , m_lifetime(std::make_shared<int>())
{
}

MembershipService::~MembershipService() { m_context.runtime.cancel(m_timer); }

void MembershipService::start()
{
    for (const std::string& seed : m_settings.seeds)
        learnAddress(seed, true);
    m_peers.serve(heartbeatMethod,
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](const nlohmann::json& params, const auto& reply) {
            if (!lifetime.lock())
                return;
            const Common::Result<HeartbeatMessage> message = heartbeatFromJson(params);
            if (!message) {
                reply(message.reason());
                return;
            }
            handleMessage(*message);
            reply(toJson(makeMessage(!message->knownAddresses.empty(), m_left)));
        });
    m_session.start(
        [this] { return isSessionLister(); }, [this](const std::string& address) { learnAddress(address, false); });
    m_liveGauge.Set(1);
    tick();
}

void MembershipService::leave(const std::function<void()>& done)
{
    m_left = true;
    m_context.runtime.cancel(m_timer);
    m_session.stop();
    sendToAllLive(true, done);
}

void MembershipService::setDraining(bool draining)
{
    if (m_self.draining == draining)
        return;
    m_self.draining = draining;
    sendToAllLive(false, [] {});
    notify();
}

void MembershipService::setConfigRevision(Common::ConfigRevision revision) { m_self.configRevision = revision; }

void MembershipService::updateLoad(int64_t freeSlots, int64_t totalSlots, int64_t queuedRequests)
{
    m_self.freeSlots = freeSlots;
    m_self.totalSlots = totalSlots;
    m_self.queuedRequests = queuedRequests;
}

std::vector<Scheduler::PeerInfo> MembershipService::livePeers() const
{
    std::vector<Scheduler::PeerInfo> peers { m_self };
    for (const auto& [address, row] : m_rows) {
        if (row.live)
            peers.push_back(row.peer);
    }
    std::sort(peers.begin(), peers.end(),
        [](const Scheduler::PeerInfo& left, const Scheduler::PeerInfo& right) { return left.id < right.id; });
    return peers;
}

std::optional<Scheduler::PeerInfo> MembershipService::find(const Common::DaemonId& id) const
{
    if (id == m_self.id)
        return m_self;
    for (const auto& [address, row] : m_rows) {
        if (row.live && row.peer.id == id)
            return row.peer;
    }
    return std::nullopt;
}

void MembershipService::onChange(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

void MembershipService::tick()
{
    m_timer = m_context.runtime.schedule(m_settings.heartbeatInterval / 2, [this] { tick(); });
    checkSilence();
    forgetOldRows();
    sendDueHeartbeats();
}

void MembershipService::checkSilence()
{
    const Common::MonotonicTime now = m_context.runtime.now();
    bool changed = false;
    for (auto& [address, row] : m_rows) {
        if (!row.live || now - row.lastHeartbeatAt <= intervalOf(row.peer) * m_settings.silentIntervals)
            continue;
        markDown(row, "silent");
        changed = true;
    }
    if (changed)
        notify();
}

void MembershipService::forgetOldRows()
{
    const Common::MonotonicTime now = m_context.runtime.now();
    std::erase_if(m_rows, [&](const auto& entry) {
        const Row& row = entry.second;
        return !row.live && !row.seed && now - row.lastHeartbeatAt > m_settings.forgetAfter;
    });
}

void MembershipService::sendDueHeartbeats()
{
    for (auto& [address, row] : m_rows) {
        if (isDue(row))
            sendHeartbeat(address, row, false, [] {});
    }
}

bool MembershipService::isDue(const Row& row) const
{
    if (!row.sentAt)
        return true;
    const Common::MonotonicTime now = m_context.runtime.now();
    if (!row.live)
        return now - *row.sentAt >= m_settings.probeInterval;
    const Common::Duration interval = intervalOf(row.peer);
    if (now - *row.sentAt < interval)
        return false;
    // A call and its reply inform both sides, so the side with the higher id calls only when the other one doesn't.
    return m_self.id < row.peer.id || now - row.lastHeartbeatAt > interval * 3 / 2;
}

Common::Duration MembershipService::intervalOf(const Scheduler::PeerInfo& peer) const
{
    if (peer.region != m_self.region)
        return m_settings.remoteHeartbeatInterval;
    if (peer.domain != m_self.domain)
        return m_settings.regionHeartbeatInterval;
    return m_settings.heartbeatInterval;
}

void MembershipService::sendToAllLive(bool leaving, const std::function<void()>& done)
{
    const auto waiting = std::make_shared<size_t>(1);
    const auto finishOne = [waiting, done] {
        if (--*waiting == 0)
            done();
    };
    for (auto& [address, row] : m_rows) {
        if (!row.live)
            continue;
        ++*waiting;
        sendHeartbeat(address, row, leaving, finishOne);
    }
    finishOne();
}

void MembershipService::sendHeartbeat(
    const std::string& address, Row& row, bool leaving, const std::function<void()>& done)
{
    const bool withAddresses = row.heartbeats % m_settings.gossipEvery == 0;
    ++row.heartbeats;
    row.sentAt = m_context.runtime.now();
    m_heartbeatsSent.Increment();
    m_peers.call(address, heartbeatMethod, toJson(makeMessage(withAddresses, leaving)), m_settings.callTimeout,
        [this, done, lifetime = std::weak_ptr<int>(m_lifetime)](const Common::Result<nlohmann::json>& reply) {
            if (!lifetime.lock())
                return;
            if (!reply)
                m_heartbeatFailures.Increment();
            const Common::Result<HeartbeatMessage> message
                = reply ? heartbeatFromJson(*reply) : Common::Result<HeartbeatMessage>(reply.reason());
            if (message)
                handleMessage(*message);
            done();
        });
}

HeartbeatMessage MembershipService::makeMessage(bool withAddresses, bool leaving)
{
    HeartbeatMessage message;
    message.sender = m_self;
    message.startedAtMilliseconds = m_startedAtMilliseconds;
    message.time = m_context.timeline.stampNow();
    message.leaving = leaving;
    if (!withAddresses)
        return message;
    for (const auto& [address, row] : m_rows) {
        if (row.live)
            message.knownAddresses.push_back(address);
    }
    // Never leaves the list empty: a receiver replies with addresses only to a message that has some.
    message.knownAddresses.push_back(m_self.address);
    return message;
}

void MembershipService::handleMessage(const HeartbeatMessage& message)
{
    m_context.timeline.clock().receive(message.time);
    if (m_left || message.sender.id == m_self.id || message.sender.address == m_self.address)
        return;
    Row& row = rowOf(message.sender.address);
    if (row.peer.id == message.sender.id && message.time <= row.messageTime)
        return;
    if (row.live && row.peer.id != message.sender.id && message.startedAtMilliseconds < row.startedAtMilliseconds)
        return;
    for (const std::string& address : message.knownAddresses)
        learnAddress(address, false);
    if (!message.leaving) {
        markLive(row, message);
        return;
    }
    row.messageTime = message.time;
    if (row.live && row.peer.id == message.sender.id) {
        markDown(row, "left");
        notify();
    }
}

void MembershipService::markLive(Row& row, const HeartbeatMessage& message)
{
    const bool isReplacement = row.live && row.peer.id != message.sender.id;
    if (isReplacement)
        markDown(row, "replaced by " + message.sender.id.value());
    const bool changed = !row.live || row.peer.draining != message.sender.draining;
    const bool isUp = !row.live;
    row.live = true;
    row.peer = message.sender;
    row.startedAtMilliseconds = message.startedAtMilliseconds;
    row.messageTime = message.time;
    row.lastHeartbeatAt = m_context.runtime.now();
    if (isUp) {
        m_context.timeline.record(Common::Event { .kind = Common::EventKind::PeerUp, .note = row.peer.id.value() });
        LC_INFO(Peer, "daemon " + row.peer.id.value() + " at " + row.peer.address + " is up");
    }
    if (changed)
        notify();
}

void MembershipService::markDown(Row& row, const std::string& reason)
{
    row.live = false;
    const std::string& id = row.peer.id.value();
    m_context.timeline.record(Common::Event { .kind = Common::EventKind::PeerDown, .note = id + ": " + reason });
    LC_WARN(Peer, "daemon " + id + " at " + row.peer.address + " is down: " + reason);
}

void MembershipService::learnAddress(const std::string& address, bool seed)
{
    if (address == m_self.address)
        return;
    Row& row = rowOf(address);
    row.seed = row.seed || seed;
}

MembershipService::Row& MembershipService::rowOf(const std::string& address)
{
    const auto [position, isNew] = m_rows.try_emplace(address);
    if (isNew)
        position->second.lastHeartbeatAt = m_context.runtime.now();
    return position->second;
}

bool MembershipService::isSessionLister() const
{
    // The live daemon with the lowest id in the domain lists the rows of the others.
    return std::none_of(m_rows.begin(), m_rows.end(), [this](const auto& entry) {
        const Row& row = entry.second;
        return row.live && row.peer.domain == m_self.domain && row.peer.id < m_self.id;
    });
}

void MembershipService::notify()
{
    m_liveGauge.Set(static_cast<double>(livePeers().size()));
    for (const auto& listener : m_listeners)
        listener();
}

} // namespace Membership
