// Chooses the better of two random peers among those that make progress.
#include "Policy/Router.h"

#include <algorithm>

namespace Policy {

using Common::Duration;
using Common::MonotonicTime;
using Scheduler::PeerInfo;

namespace {

    /// Share of a new answer time in the moving average.
    constexpr double answerShare = 0.2;
    /// A peer is stalled when it has at least `stallCalls` open calls and hasn't answered for `shortestStall` or for
    /// `stallAnswers` times its usual answer time, whichever is longer.
    constexpr int64_t stallCalls = 3;
    constexpr Duration shortestStall = std::chrono::milliseconds(300);
    constexpr int stallAnswers = 4;
    constexpr uint32_t longestBackoffShift = 10;
    /// Peers drawn at random for each choice.
    constexpr int draws = 2;

    Router::Scope scopeOf(const PeerInfo& self, const PeerInfo& peer)
    {
        if (peer.region != self.region)
            return Router::Scope::OtherRegion;
        return peer.domain == self.domain ? Router::Scope::Domain : Router::Scope::Region;
    }

    Router::Scope widestScope(Scheduler::SpillScope spill)
    {
        switch (spill) {
        case Scheduler::SpillScope::Domain:
            return Router::Scope::Domain;
        case Scheduler::SpillScope::Region:
            return Router::Scope::Region;
        case Scheduler::SpillScope::Everywhere:
            return Router::Scope::OtherRegion;
        }
        return Router::Scope::Domain;
    }

} // namespace

Router::Router(Settings settings, const LinkBudget& link)
    : m_settings(settings)
    , m_link(link)
{
}

std::vector<Router::Candidate> Router::choose(const RouteQuery& query, MonotonicTime now, std::mt19937_64& random) const
{
    const Candidate here { Scope::Here, query.self.id };
    const bool hasRoomHere = query.self.freeSlots > 0 && !query.self.draining;
    std::vector<Candidate> candidates;
    if (hasRoomHere)
        candidates.push_back(here);
    for (const Scope scope : { Scope::Domain, Scope::Region, Scope::OtherRegion }) {
        if (scope <= widestScope(query.spill))
            appendScope(candidates, scope, query, now, random);
    }
    if (!hasRoomHere && !query.self.draining)
        candidates.push_back(here);
    return candidates;
}

void Router::onSent(const Common::DaemonId& id, MonotonicTime now)
{
    Peer& peer = m_peers[id];
    if (peer.inFlight++ == 0)
        peer.progressAt = now;
    // While the peer is skipped, this call is the probe.
    if (!makesProgress(peer, now))
        peer.probeAt = now + backoff(peer);
}

void Router::onAnswered(const Common::DaemonId& id, Duration took, bool refused, MonotonicTime now)
{
    Peer& peer = m_peers[id];
    peer.inFlight = std::max<int64_t>(0, peer.inFlight - 1);
    peer.failuresInARow = 0;
    peer.progressAt = now;
    if (refused) {
        peer.refusedUntil = now + m_settings.refusalPause;
        return;
    }
    const auto sample = static_cast<double>(took.count());
    const bool first = peer.answerMicroseconds == 0;
    peer.answerMicroseconds
        = first ? sample : peer.answerMicroseconds + answerShare * (sample - peer.answerMicroseconds);
    peer.answeredAt = now;
}

void Router::onNoAnswer(const Common::DaemonId& id, MonotonicTime now)
{
    Peer& peer = m_peers[id];
    peer.inFlight = std::max<int64_t>(0, peer.inFlight - 1);
    ++peer.failuresInARow;
    peer.probeAt = now + backoff(peer);
}

void Router::onLoadSummary(const Common::DaemonId& id, MonotonicTime)
{
    const auto found = m_peers.find(id);
    if (found == m_peers.end())
        return;
    found->second.inFlightAtSummary = found->second.inFlight;
}

void Router::forget(const Common::DaemonId& id) { m_peers.erase(id); }

const Router::Peer* Router::find(const Common::DaemonId& id) const
{
    const auto found = m_peers.find(id);
    return found == m_peers.end() ? nullptr : &found->second;
}

Duration Router::backoff(const Peer& peer) const
{
    const uint32_t shift = std::min(peer.failuresInARow, longestBackoffShift);
    return std::min(m_settings.longestProbeAfter, m_settings.firstProbeAfter * (int64_t { 1 } << shift));
}

bool Router::makesProgress(const Peer& peer, MonotonicTime now) const
{
    if (peer.failuresInARow >= m_settings.failuresToSkip)
        return false;
    const Duration usual(static_cast<Duration::rep>(peer.answerMicroseconds));
    const Duration stall = std::max(shortestStall, usual * stallAnswers);
    return peer.inFlight < stallCalls || now - peer.progressAt <= stall;
}

bool Router::isFastEnough(const Peer& peer, const RouteQuery& query, MonotonicTime now) const
{
    const auto allowed = static_cast<double>(query.timeLeft.count()) * m_settings.slowSharePercent / 100;
    if (peer.answerMicroseconds <= allowed)
        return true;
    // An old average is ignored, so that a peer that has recovered is used again.
    return now - peer.answeredAt >= m_settings.longestProbeAfter;
}

bool Router::isUsable(const RouteQuery& query, const PeerInfo& info, MonotonicTime now) const
{
    if (info.draining || info.id == query.self.id)
        return false;
    if (info.region != query.self.region && remainingSlots(info) <= 0)
        return false;
    const Peer* peer = find(info.id);
    if (!peer)
        return true;
    if (now < peer->refusedUntil)
        return false;
    if (!makesProgress(*peer, now))
        return now >= peer->probeAt;
    return isFastEnough(*peer, query, now);
}

int64_t Router::remainingSlots(const PeerInfo& info) const
{
    const Peer* peer = find(info.id);
    if (!peer)
        return info.freeSlots;
    // A call that was sent and answered since the summary no longer occupies a slot.
    return info.freeSlots - std::max<int64_t>(0, peer->inFlight - peer->inFlightAtSummary);
}

void Router::appendScope(
    std::vector<Candidate>& to, Scope scope, const RouteQuery& query, MonotonicTime now, std::mt19937_64& random) const
{
    if (scope == Scope::OtherRegion && m_link.available(now) < query.bytes)
        return;
    std::vector<const PeerInfo*> peers;
    for (const PeerInfo& info : query.peers) {
        if (scopeOf(query.self, info) == scope && isUsable(query, info, now))
            peers.push_back(&info);
    }
    for (uint32_t taken = 0; taken < m_settings.candidatesPerScope && !peers.empty(); ++taken) {
        size_t best = random() % peers.size();
        for (int draw = 1; draw < draws; ++draw) {
            const size_t other = random() % peers.size();
            if (remainingSlots(*peers[other]) > remainingSlots(*peers[best]))
                best = other;
        }
        to.push_back(Candidate { scope, peers[best]->id });
        peers[best] = peers.back();
        peers.pop_back();
    }
}

} // namespace Policy
