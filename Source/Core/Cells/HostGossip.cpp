// Rounds of heartbeats, the spread of news, and reports of silent hosts.
#include "Cells/HostGossip.h"

#include "Cells/HostHeartbeat.h"
#include "Common/CborParser.h"
#include "Common/Hash.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/Log.h"
#include "Common/WorkTimes.h"
#include "Policy/WatchRing.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    /// Time after the start during which messages list more hosts and ask for answers; it is prolonged up to the second
    /// time while new hosts are discovered.
    constexpr Common::Duration discoveryPeriod = std::chrono::seconds(2);
    constexpr Common::Duration longestDiscovery = std::chrono::seconds(6);
    constexpr Common::Duration discoveryPause = std::chrono::seconds(1);
    constexpr size_t randomReceiversInDiscovery = 3;
    constexpr size_t randomReceivers = 1;
    /// Bytes of a message with news; one fits into an Ethernet frame.
    constexpr size_t newsBytes = 1200;
    /// Messages without news list hosts in rotation up to this size, so that a host that missed news learns it later.
    constexpr size_t listBytes = 220;
    /// The same for messages of and to hosts that know few others yet.
    constexpr size_t discoveryBytes = 4000;
    /// Each host passes news on to this many others, one round's receivers: all but some in a thousand hosts learn it,
    /// and these from the lists. What others act on at once is passed on twice.
    constexpr size_t sendsPerNews = Policy::maximumWatchers + randomReceivers;
    constexpr size_t sendsPerUrgentNews = 2 * sendsPerNews;
    /// A watched host that is silent for this part of the host timeout is asked, and again at the ask interval.
    constexpr int askAfterParts = 2;
    constexpr Common::Duration askInterval = std::chrono::milliseconds(350);
    constexpr Common::Duration flushInterval = std::chrono::milliseconds(100);
    /// Every n-th round asks at one address where no live host is known.
    constexpr uint64_t roundsPerUnknownAddress = 4;

    constexpr int64_t answerFlag = 1;
    constexpr int64_t joiningFlag = 2;

    /// Distinguishes the reports of different hosts about one.
    uint64_t silenceId(uint64_t key, uint64_t reporter) { return key ^ (reporter * 0x9E37'79B9'7F4A'7C15ULL + 1); }

    std::string silenceFrame(const HostDirectory::Row& row, uint64_t reporter, bool isConfirmed)
    {
        std::string payload;
        Json::to_cbor(Json::array({ reporter, isConfirmed }), payload);
        return GossipFrame { GossipFrame::Kind::Silence, row.key,
            static_cast<uint64_t>(row.state.startedAtMilliseconds), row.version, payload }
            .encode();
    }

    std::string stateFrame(const HostState& state, uint64_t key, uint64_t version)
    {
        const std::string payload = state.encode();
        return GossipFrame { GossipFrame::Kind::HostState, key, static_cast<uint64_t>(state.startedAtMilliseconds),
            version, payload }
            .encode();
    }

} // namespace

HostGossip::HostGossip(
    Scheduler::Runtime& runtime, HeartbeatPort& port, const HostSettings& settings, HostDirectory& directory)
    : m_runtime(runtime)
    , m_port(port)
    , m_settings(settings)
    , m_directory(directory)
    , m_key(HostDirectory::keyOf(settings.id))
{
}

void HostGossip::start(Hooks hooks)
{
    m_hooks = std::move(hooks);
    m_startedAt = m_listeningSince = m_discoveredAt = m_runtime.now();
    // Hosts list different parts of the fleet.
    m_nextListed = m_runtime.random()();
    m_port.onReceive([this](std::string_view bytes) { onMessage(bytes); });
}

bool HostGossip::isDiscoveringHosts() const
{
    const Common::MonotonicTime now = m_runtime.now();
    return now - m_startedAt < discoveryPeriod
        || (now - m_discoveredAt < discoveryPause && now - m_startedAt < longestDiscovery);
}

void HostGossip::publish(const HostState& state)
{
    if (m_version > 0 && state == m_state)
        return;
    m_state = state;
    m_stateFrame = stateFrame(m_state, m_key, ++m_version);
}

void HostGossip::watchAlso(const std::set<Common::DaemonId>& hosts)
{
    m_alsoWatched.clear();
    for (const Common::DaemonId& host : hosts)
        m_alsoWatched.insert(HostDirectory::keyOf(host));
}

void HostGossip::resumed() { m_listeningSince = m_runtime.now(); }

// Sending.

void HostGossip::send(const std::string& address, const std::string& message)
{
    ++m_counters.messagesSent;
    m_counters.bytesSent += message.size();
    m_port.send(address, message);
}

std::string HostGossip::beginMessage(Answer answer) const
{
    std::string payload;
    const int64_t flags = answer == Answer::NotWanted ? 0
        : answer == Answer::Wanted                    ? answerFlag
                                                      : answerFlag | joiningFlag;
    Json::to_cbor(Json::array({ flags, m_configVersion }), payload);
    std::string message(1, gossipFormat);
    GossipFrame { GossipFrame::Kind::Sender, m_key, static_cast<uint64_t>(m_state.startedAtMilliseconds), m_version,
        payload }
        .appendTo(message);
    message += m_stateFrame;
    return message;
}

void HostGossip::appendRumors(std::string& message, size_t receivers)
{
    for (size_t left = m_rumors.size(); left > 0; --left) {
        Rumor& rumor = m_rumors.front();
        if (message.size() + rumor.bytes.size() > (isDiscoveringHosts() ? discoveryBytes : newsBytes))
            return;
        message += rumor.bytes;
        if (rumor.sendsLeft <= receivers) {
            m_rumorsById.erase(rumor.id);
            m_rumors.pop_front();
            continue;
        }
        rumor.sendsLeft -= receivers;
        m_rumors.splice(m_rumors.end(), m_rumors, m_rumors.begin());
    }
}

void HostGossip::appendHosts(std::string& message, size_t bytes)
{
    const auto& rows = m_directory.rows();
    const Common::MonotonicTime now = m_runtime.now();
    for (size_t left = rows.size(); left > 0 && message.size() < bytes; --left) {
        auto next = rows.upper_bound(m_nextListed);
        if (next == rows.end())
            next = rows.begin();
        m_nextListed = next->first;
        const HostDirectory::Row& row = next->second;
        if (row.isEarlierRelease)
            continue;
        if (m_directory.isAlive(row, now) || row.silenceReporters.empty())
            message += row.frame;
        else
            appendSilence(message, row);
    }
}

void HostGossip::appendSilence(std::string& message, const HostDirectory::Row& row) const
{
    for (const Key reporter : row.silenceReporters)
        message += silenceFrame(row, reporter, row.isSilenceConfirmed);
}

void HostGossip::sendToWatchers()
{
    std::vector<std::string> receivers = m_watchers;
    for (std::string& address : randomAddresses(isDiscoveringHosts() ? randomReceiversInDiscovery : randomReceivers)) {
        if (std::find(receivers.begin(), receivers.end(), address) == receivers.end())
            receivers.push_back(std::move(address));
    }
    std::string message = beginMessage(isDiscoveringHosts() ? Answer::ManyHostsWanted : Answer::NotWanted);
    appendRumors(message, receivers.size());
    appendHosts(message, isDiscoveringHosts() ? discoveryBytes : listBytes);
    for (const std::string& address : receivers)
        send(address, message);
}

void HostGossip::sendRound()
{
    const Common::MonotonicTime now = m_runtime.now();
    m_directory.expire(now);
    updateWatchers();
    ++m_rounds;
    sendToWatchers();
    for (const std::string& address : discoveryAddresses())
        ask(address);
    for (const std::string& address : m_askedEachRound)
        ask(address);
    if (const std::string silent = silentAddress(); !silent.empty())
        ask(silent);
    for (const auto& [key, row] : m_directory.rows()) {
        if (row.isEarlierRelease)
            send(row.state.heartbeatAddress, m_hooks.heartbeatForEarlierRelease());
    }
}

void HostGossip::flush()
{
    const Common::MonotonicTime now = m_runtime.now();
    if (m_flushScheduled)
        return;
    if (m_flushedAt && now - *m_flushedAt < flushInterval) {
        m_flushScheduled = true;
        m_runtime.schedule(*m_flushedAt + flushInterval - now, m_lifetime.guard([this] {
            m_flushScheduled = false;
            flush();
        }));
        return;
    }
    m_flushedAt = now;
    sendToWatchers();
}

void HostGossip::sendCells(const HostState& to, const std::vector<std::string>& cellFrames)
{
    std::string message = beginMessage(Answer::NotWanted);
    for (const std::string& frame : cellFrames)
        message += frame;
    send(to.heartbeatAddress, message);
}

void HostGossip::ask(const std::string& address)
{
    if (address == m_settings.heartbeatAddress)
        return;
    std::string message
        = beginMessage(isDiscoveringHosts() || m_directory.rows().empty() ? Answer::ManyHostsWanted : Answer::Wanted);
    appendHosts(message, listBytes);
    send(address, message);
}

/// Addresses without a known live host: all of them until a host is heard, then one at a time. A host of an earlier
/// release may be there, which reads its own format only.
std::vector<std::string> HostGossip::discoveryAddresses()
{
    const Common::MonotonicTime now = m_runtime.now();
    const std::set<std::string> unknown = m_directory.unknownAddresses(now);
    if (unknown.empty())
        return {};
    std::vector<std::string> addresses(unknown.begin(), unknown.end());
    const bool hearsAnyone = m_directory.hearsAnyone(now);
    if (hearsAnyone && m_rounds % roundsPerUnknownAddress != 0)
        return {};
    if (hearsAnyone)
        addresses = { addresses[(m_rounds / roundsPerUnknownAddress) % addresses.size()] };
    if (m_rounds % 2 == 0 && m_rounds > 2) {
        for (const std::string& address : addresses)
            send(address, m_hooks.heartbeatForEarlierRelease());
    }
    return addresses;
}

std::vector<std::string> HostGossip::randomAddresses(size_t count)
{
    const auto& rows = m_directory.rows();
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<std::string> addresses;
    for (size_t tries = 3 * count; tries > 0 && addresses.size() < count && !rows.empty(); --tries) {
        const auto row = std::next(rows.begin(), static_cast<ptrdiff_t>(m_runtime.random()() % rows.size()));
        if (m_directory.isAlive(row->second, now) && !row->second.isEarlierRelease)
            addresses.push_back(row->second.state.heartbeatAddress);
    }
    return addresses;
}

/// A random host that counts as dead: it may have been cut off and back again, together with all that would report it.
std::string HostGossip::silentAddress()
{
    std::vector<const HostDirectory::Row*> silent;
    const Common::MonotonicTime now = m_runtime.now();
    for (const auto& [key, row] : m_directory.rows()) {
        if (!m_directory.isAlive(row, now))
            silent.push_back(&row);
    }
    return silent.empty() ? std::string {} : silent[m_runtime.random()() % silent.size()]->state.heartbeatAddress;
}

/// Queues a frame for the next messages, in place of an earlier one with the same id.
void HostGossip::spread(uint64_t id, std::string bytes, bool isUrgent)
{
    if (const auto earlier = m_rumorsById.find(id); earlier != m_rumorsById.end()) {
        m_rumors.erase(earlier->second);
        m_rumorsById.erase(earlier);
    }
    const auto at = isUrgent ? m_rumors.begin() : m_rumors.end();
    m_rumorsById[id]
        = m_rumors.insert(at, Rumor { id, std::move(bytes), isUrgent ? sendsPerUrgentNews : sendsPerNews });
    if (isUrgent)
        flush();
}

// Receiving.

void HostGossip::onMessage(std::string_view bytes)
{
    const Common::WorkTimes::Scope work(Common::WorkKind::HeartbeatsReceived);
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += bytes.size();
    if (!bytes.empty() && bytes.front() == '{') {
        onHeartbeatOfEarlierRelease(bytes);
        return;
    }
    const auto frames = readGossip(bytes);
    if (!frames) {
        ++m_counters.unreadable;
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << frames.reason().detail);
        return;
    }
    if (frames->front().key == m_key)
        return;
    for (size_t index = 1; index < frames->size(); ++index)
        onFrame((*frames)[index]);
    onSender(frames->front());
}

void HostGossip::onHeartbeatOfEarlierRelease(std::string_view text)
{
    const auto heartbeat = HostHeartbeat::decode(text);
    if (!heartbeat) {
        ++m_counters.unreadable;
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << heartbeat.reason().detail);
        return;
    }
    // A host of this release sends such heartbeats to hosts that it doesn't know yet.
    const HostDirectory::Row* const known = m_directory.row(HostDirectory::keyOf(heartbeat->id));
    if (heartbeat->id == m_settings.id || (known && !known->isEarlierRelease) || heartbeat->readsGossip)
        return;
    const Common::MonotonicTime now = m_runtime.now();
    for (const std::string& address : heartbeat->knownAddresses)
        m_directory.learnAddress(address, now);
    m_directory.recordEarlierRelease(heartbeat->state(), now);
    m_hooks.onEarlierRelease(*heartbeat);
}

void HostGossip::onFrame(const GossipFrame& frame)
{
    switch (frame.kind) {
    case GossipFrame::Kind::HostState:
        onStateFrame(frame);
        return;
    case GossipFrame::Kind::Silence:
        onSilenceFrame(frame);
        return;
    case GossipFrame::Kind::CellLoad:
        m_hooks.onCellFrame(frame);
        return;
    case GossipFrame::Kind::Sender:
        return;
    }
    // Frames of later releases are skipped.
}

void HostGossip::onStateFrame(const GossipFrame& frame)
{
    const HostDirectory::Row* const known = m_directory.row(frame.key);
    if (frame.key == m_key || (known && !known->isEarlierRelease && known->version >= frame.version))
        return;
    const auto state = HostState::decode(frame.payload);
    ++m_counters.statesDecoded;
    if (!state || HostDirectory::keyOf(state->id) != frame.key) {
        ++m_counters.unreadable;
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << (state ? "host of another key" : state.reason().detail));
        return;
    }
    const bool isNewHost = !known;
    if (!m_directory.recordState(*state, frame.version, frame.encode(), m_runtime.now()))
        return;
    // While all hosts start, the lists in messages spread their states at a lower cost.
    const bool isDiscovering = isDiscoveringHosts();
    if (isNewHost)
        m_discoveredAt = m_runtime.now();
    if (!isNewHost || !isDiscovering)
        spread(frame.key, frame.encode(), !state->released.empty() || state->draining);
    m_hooks.onState(*state, isNewHost);
}

void HostGossip::onSilenceFrame(const GossipFrame& frame)
{
    if (frame.key == m_key) {
        if (frame.version == m_version)
            refute();
        return;
    }
    try {
        const Json payload = Common::parseCborOrThrow(frame.payload);
        const Common::JsonField report(payload, "the report of a silent host");
        if (!report.element(0).exists() || !payload[0].is_number_unsigned())
            throw Common::JsonFault("the report of a silent host names no reporter");
        const auto reporter = payload[0].get<uint64_t>();
        if (m_directory.recordSilence(frame.key, frame.version, reporter, report.element(1).flag(), m_runtime.now()))
            spread(silenceId(frame.key, reporter), frame.encode(), true);
    } catch (const Common::JsonFault& fault) {
        ++m_counters.unreadable;
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << fault.what());
    }
}

/// Others report this host as silent.
void HostGossip::refute()
{
    ++m_counters.silencesRefuted;
    m_stateFrame = stateFrame(m_state, m_key, ++m_version);
    flush();
}

void HostGossip::onSender(const GossipFrame& frame)
{
    const HostDirectory::Row* const row = m_directory.row(frame.key);
    if (!row)
        return;
    int64_t flags = 0;
    int64_t configVersion = -1;
    try {
        const Json payload = Common::parseCborOrThrow(frame.payload);
        const Common::JsonField sender(payload, "the sender");
        flags = sender.element(0).integer(0, Common::maximumJsonInteger);
        configVersion = sender.element(1).integer(-1, Common::maximumJsonInteger);
    } catch (const Common::JsonFault& fault) {
        ++m_counters.unreadable;
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << fault.what());
        return;
    }
    m_directory.recordContact(frame.key, m_runtime.now());
    const bool countsAsSilent = !row->silenceReporters.empty();
    if (countsAsSilent || (flags & answerFlag) != 0) {
        std::string answer = beginMessage(Answer::NotWanted);
        // The host is told so that it refutes the reports.
        if (countsAsSilent)
            appendSilence(answer, *row);
        appendHosts(answer, (flags & joiningFlag) != 0 ? discoveryBytes : listBytes);
        send(row->state.heartbeatAddress, answer);
    }
    m_hooks.onContact(Contact { row->state, row->version == frame.version, configVersion });
}

// Watching.

void HostGossip::updateWatchers()
{
    if (m_watchersAt == m_directory.changes())
        return;
    m_watchersAt = m_directory.changes();
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<Policy::RingHost> hosts { { Common::stableHash(m_settings.address), m_settings.domain.value() } };
    std::vector<const HostDirectory::Row*> rows { nullptr };
    for (const auto& [key, row] : m_directory.rows()) {
        if (!m_directory.isAlive(row, now) || row.isEarlierRelease)
            continue;
        // By address, not by id: a host that was restarted keeps its place.
        hosts.push_back({ Common::stableHash(row.state.address), row.state.domain.value() });
        rows.push_back(&row);
    }
    const std::vector<std::vector<size_t>> watchers = Policy::watchersOf(hosts);
    m_watchers.clear();
    for (const size_t watcher : watchers.front())
        m_watchers.push_back(rows[watcher]->state.heartbeatAddress);
    m_watched.clear();
    for (size_t host = 1; host < hosts.size(); ++host) {
        if (std::find(watchers[host].begin(), watchers[host].end(), 0) == watchers[host].end())
            continue;
        std::vector<Key>& others = m_watched[rows[host]->key];
        for (const size_t watcher : watchers[host]) {
            if (watcher != 0)
                others.push_back(rows[watcher]->key);
        }
    }
}

void HostGossip::checkSilence()
{
    const Common::MonotonicTime now = m_runtime.now();
    std::set<Key> watched = m_alsoWatched;
    for (const auto& [key, others] : m_watched)
        watched.insert(key);
    std::erase_if(m_watchedSince, [&](const auto& row) { return !watched.contains(row.first); });
    std::erase_if(m_askedAt, [&](const auto& row) { return !watched.contains(row.first); });
    for (const Key key : watched) {
        const HostDirectory::Row* const row = m_directory.row(key);
        if (!row || row->isEarlierRelease)
            continue;
        const Common::MonotonicTime since = std::max({ row->heardAt.value_or(m_startedAt),
            m_watchedSince.try_emplace(key, now).first->second, m_listeningSince });
        const Common::Duration silence = now - since;
        if (silence >= m_settings.hostTimeout / askAfterParts) {
            const auto asked = m_askedAt.find(key);
            if (asked == m_askedAt.end() || now - asked->second >= askInterval) {
                m_askedAt[key] = now;
                ask(row->state.heartbeatAddress);
            }
        }
        if (silence >= m_settings.hostTimeout && !row->silenceReporters.contains(m_key))
            reportSilence(*row);
    }
}

/// Whether no other watcher of the host could confirm its silence.
bool HostGossip::isOnlyWitness(const HostDirectory::Row& row) const
{
    const auto others = m_watched.find(row.key);
    if (others == m_watched.end())
        return false;
    const Common::MonotonicTime now = m_runtime.now();
    return std::none_of(others->second.begin(), others->second.end(), [&](Key key) {
        const HostDirectory::Row* const other = m_directory.row(key);
        const bool isWatchedHere = m_watched.contains(key);
        return other && m_directory.isAlive(*other, now) && (!isWatchedHere || m_directory.isHeard(*other, now));
    });
}

void HostGossip::reportSilence(const HostDirectory::Row& row)
{
    ++m_counters.silencesReported;
    const bool isConfirmed = isOnlyWitness(row);
    LC_INFO(Peer,
        "event=host-silent host=" << row.state.id.value() << " version=" << row.version
                                  << " reporters=" << row.silenceReporters.size() + 1 << " confirmed=" << isConfirmed);
    m_directory.recordSilence(row.key, row.version, m_key, isConfirmed, m_runtime.now());
    spread(silenceId(row.key, m_key), silenceFrame(row, m_key, isConfirmed), true);
}

} // namespace Cells
