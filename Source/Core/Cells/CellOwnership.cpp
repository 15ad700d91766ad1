// Layout, heartbeats, claims and releases of cells, and the platform's list of workers.
#include "Cells/CellOwnership.h"

#include "Cells/AnswerWindow.h"
#include "Cells/PressureEstimateCodec.h"
#include "Cells/StoreKeys.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"
#include "Common/Log.h"
#include "Common/WorkTimes.h"
#include "Policy/OwnerChoice.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    constexpr Common::Duration storeRetryPause = std::chrono::milliseconds(400);
    /// The first layout is written when the list of workers has stopped growing, or after this time.
    constexpr Common::Duration layoutTimeout = std::chrono::seconds(5);
    constexpr Common::Duration layoutRetryPause = std::chrono::milliseconds(600);
    /// A host whose tick is later than this has missed heartbeats: half of the default host timeout.
    constexpr Common::Duration maximumTickDelay = std::chrono::seconds(1);
    /// A host whose tick is later than this may have read answers after their timeouts.
    constexpr Common::Duration tolerableLag = std::chrono::milliseconds(100);
    /// A host that stays late replaces an owner after this many failures to connect: otherwise nobody would when all
    /// hosts are late.
    constexpr uint32_t maximumLateConnectFailures = 5;
    /// An owner whose heartbeats don't arrive has this long to answer a call before it is replaced. The time doubles as
    /// long as this host is too late to judge, up to the longest one.
    constexpr Common::Duration ownerProbeTimeout = std::chrono::milliseconds(600);
    constexpr Common::Duration longestOwnerProbeTimeout = std::chrono::milliseconds(9600);
    /// A host that is late, or hears no other host, leaves ownerless cells to the others for this long.
    constexpr Common::Duration unfitClaimDelay = std::chrono::seconds(3);
    /// Time after the start during which heartbeats are sent faster and list more addresses.
    constexpr Common::Duration discoveryPeriod = std::chrono::seconds(2);
    /// How long heartbeats announce that a cell was released.
    constexpr Common::Duration releaseAnnouncementPeriod = std::chrono::seconds(2);
    /// Every n-th heartbeat carries pressure estimates, at most this many pairs for each cell.
    constexpr uint64_t heartbeatsPerEstimates = 4;
    constexpr size_t maximumSentPressureEstimates = 60;
    /// Each heartbeat lists the addresses of some live hosts in rotation; during discovery it lists more, so that hosts
    /// that start with a few seeds find all others.
    constexpr size_t addressesPerHeartbeat = 8;
    constexpr size_t addressesPerDiscoveryHeartbeat = 24;
    /// The list changes with every n-th heartbeat, so that the others are alike and needn't be decoded.
    constexpr uint64_t heartbeatsPerAddresses = 4;

    std::vector<WorkerEntry> readWorkers(const std::optional<Scheduler::StoreValue>& record)
    {
        std::vector<WorkerEntry> workers;
        if (!record)
            return workers;
        try {
            const nlohmann::json rows = Common::parseJsonOrThrow(record->value);
            for (const nlohmann::json& element : Common::JsonField(rows, "the workers").list()) {
                const Common::JsonField row(element, "a worker");
                WorkerEntry entry;
                entry.id = Common::WorkerId(row.element(0).text());
                entry.address = row.element(1).text();
                workers.push_back(std::move(entry));
            }
        } catch (const Common::JsonFault& error) {
            LC_ERROR(Store, "event=unreadable-record key=" << record->key << " reason=" << error.what());
        }
        return workers;
    }

    std::vector<Policy::TailLatencyModel::PressureEstimate> readPressureEstimates(const Scheduler::StoreValue& record)
    {
        try {
            return pressureEstimatesFromJson(Common::parseJsonOrThrow(record.value));
        } catch (const Common::JsonFault& error) {
            LC_ERROR(Store, "event=unreadable-record key=" << record.key << " reason=" << error.what());
            return {};
        }
    }

    std::optional<TaskTransfer> readTransfer(const Scheduler::StoreValue& record)
    {
        auto transfer = TaskTransfer::decode(record.value);
        if (transfer)
            return std::move(*transfer);
        LC_ERROR(Store, "event=unreadable-record key=" << record.key << " reason=" << transfer.reason().detail);
        return std::nullopt;
    }

} // namespace

/// A takeover in progress.
struct CellOwnership::Claim {
    Common::MonotonicTime since;
    /// Whether the cell's record names this host.
    bool written = false;
    /// When the call that confirmed the ownership was sent, on the clock that includes suspended time.
    Common::MonotonicTime confirmedAt;
};

CellOwnership::CellOwnership(Ports ports, const HostSettings& settings, const CellSettings& cellSettings)
    : m_ports(ports)
    , m_settings(settings)
    , m_cellSettings(cellSettings)
    , m_directory(settings)
{
}

CellOwnership::~CellOwnership() = default;

void CellOwnership::start()
{
    m_startedAt = m_ports.runtime.now();
    m_lastTick = m_startedAt;
    m_startedAtMilliseconds = m_ports.runtime.wallMilliseconds();
    // Hosts start their rotation at random positions, so that together they soon list all addresses.
    m_nextAddressIndex = m_ports.runtime.random()() % addressesPerDiscoveryHeartbeat;
    m_ports.heartbeats.onReceive([this](std::string_view text) { onHeartbeat(text); });
    readLayout();
    sendHeartbeatsRegularly();
    tick();
}

void CellOwnership::readLayout()
{
    m_ports.store.get(StoreKeys::layout, Freshness::Linearizable,
        m_lifetime.guard([this](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (!found) {
                m_ports.runtime.schedule(storeRetryPause, m_lifetime.guard([this] { readLayout(); }));
                return;
            }
            const auto layout = *found ? CellLayout::decode((*found)->value) : CellLayout::decode("");
            if (layout)
                useLayout(*layout);
            else
                createLayout();
        }));
}

void CellOwnership::createLayout()
{
    m_ports.workers.list(m_lifetime.guard([this](const Common::Result<WorkerChanges>& listed) {
        const bool withinTimeout = m_ports.runtime.now() - m_startedAt < layoutTimeout;
        const bool growing = listed && listed->listed.size() != std::exchange(m_workersAtLayout, listed->listed.size());
        if (!listed || ((growing || listed->listed.empty()) && withinTimeout)) {
            m_ports.runtime.schedule(layoutRetryPause, m_lifetime.guard([this] { readLayout(); }));
            return;
        }
        writeLayout(listed->listed);
    }));
}

void CellOwnership::writeLayout(const std::vector<WorkerEntry>& workers)
{
    const CellLayout layout = CellLayout::forWorkers(m_settings.domains, workers, m_settings.workersPerCell);
    RecordTransaction transaction;
    transaction.expected.emplace_back(StoreKeys::layout, Common::StoreRevision {});
    transaction.puts.push_back({ StoreKeys::layout, layout.encode(), {} });
    m_ports.store.commit(std::move(transaction), m_lifetime.guard([this](const Common::Result<TransactionOutcome>&) {
        // Another host may have written it first; the record that exists counts.
        readLayout();
    }));
}

void CellOwnership::useLayout(CellLayout layout)
{
    m_layout = std::move(layout);
    LC_INFO(Core, "event=layout-known cells=" << m_layout.cells().size());
}

void CellOwnership::sendHeartbeatsRegularly()
{
    m_ports.runtime.schedule(isDiscoveringHosts() ? m_settings.startupHeartbeatInterval : m_settings.heartbeatInterval,
        m_lifetime.guard([this] { sendHeartbeatsRegularly(); }));
    sendHeartbeat();
}

void CellOwnership::sendHeartbeat()
{
    const Common::WorkTimes::Scope work(Common::WorkKind::HeartbeatsSent);
    const Common::MonotonicTime now = m_ports.runtime.now();
    m_directory.expire(now);
    std::erase_if(m_releasedAt, [now](const auto& row) { return now - row.second > releaseAnnouncementPeriod; });
    HostHeartbeat message;
    message.id = m_settings.id;
    message.address = m_settings.address;
    message.heartbeatAddress = m_settings.heartbeatAddress;
    message.domain = m_settings.domain;
    message.region = m_settings.region;
    message.weight = m_settings.weight;
    message.startedAtMilliseconds = m_startedAtMilliseconds;
    message.draining = m_draining;
    message.late = isLate();
    message.storeAvailable = m_storeAvailable;
    message.configVersion = m_configVersion;
    const bool sendEstimates = ++m_heartbeatCount % heartbeatsPerEstimates == 0;
    for (const auto& [cell, engine] : m_engines) {
        if (!m_releasing.contains(cell) && engine->mayGrantLeases())
            message.cells.push_back({ cell, engine->token(), engine->load(),
                sendEstimates ? engine->pressureEstimates(maximumSentPressureEstimates)
                              : std::vector<Policy::TailLatencyModel::PressureEstimate> {} });
    }
    message.transitioningCells.emplace(m_releasing.begin(), m_releasing.end());
    for (const auto& [cell, pending] : m_claims)
        message.transitioningCells->push_back(cell);
    // An owner that can't act doesn't keep others from the cell, but the store may still confirm it.
    for (const auto& [cell, engine] : m_engines) {
        if (!engine->mayGrantLeases())
            message.transitioningCells->push_back(cell);
    }
    for (const auto& [cell, since] : m_releasedAt)
        message.released.push_back(cell);
    message.knownAddresses = nextHostAddresses();
    const std::string text = message.encode();
    for (const std::string& address : m_directory.heartbeatAddresses())
        m_ports.heartbeats.send(address, text);
}

bool CellOwnership::isDiscoveringHosts() const { return m_ports.runtime.now() - m_startedAt < discoveryPeriod; }

std::vector<std::string> CellOwnership::nextHostAddresses()
{
    const std::vector<const HostHeartbeat*> live = m_directory.liveHosts(m_ports.runtime.now());
    const size_t count
        = std::min(live.size(), isDiscoveringHosts() ? addressesPerDiscoveryHeartbeat : addressesPerHeartbeat);
    std::vector<std::string> addresses;
    for (size_t index = 0; index < count; ++index)
        addresses.push_back(live[(m_nextAddressIndex + index) % live.size()]->heartbeatAddress);
    if (isDiscoveringHosts() || m_heartbeatCount % heartbeatsPerAddresses == 0)
        m_nextAddressIndex += count;
    return addresses;
}

void CellOwnership::onHeartbeat(std::string_view text)
{
    const Common::WorkTimes::Scope work(Common::WorkKind::HeartbeatsReceived);
    const Common::MonotonicTime now = m_ports.runtime.now();
    // Most hosts own no cells, and most of their heartbeats are alike.
    const HostHeartbeat* const repeated
        = m_formerOwners.empty() ? m_directory.recordRepeatedHeartbeat(text, now) : nullptr;
    if (repeated) {
        if (m_onHeartbeat)
            m_onHeartbeat(*repeated);
        return;
    }
    Common::Result<HostHeartbeat> heartbeat = HostHeartbeat::decode(text);
    if (!heartbeat) {
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << heartbeat.reason().detail);
        return;
    }
    if (!m_directory.isAlive(heartbeat->id, now))
        LC_INFO(Peer, "event=host-discovered host=" << heartbeat->id.value() << " address=" << heartbeat->address);
    for (HostHeartbeat::OwnedCell& owned : heartbeat->cells) {
        Owner& owner = m_owners[owned.cell];
        if (owned.token < owner.token)
            continue;
        owner = Owner { heartbeat->id, heartbeat->address, owned.token, std::move(owned.load), now, false };
        if (owned.pressureEstimates.empty())
            continue;
        for (const auto& [cell, engine] : m_engines)
            engine->adopt(owned.cell, owned.pressureEstimates);
        m_pressureEstimates[owned.cell] = std::move(owned.pressureEstimates);
    }
    for (const CellId& cell : heartbeat->released) {
        const auto owner = m_owners.find(cell);
        if (owner != m_owners.end() && owner->second.id == heartbeat->id)
            owner->second.released = true;
    }
    for (auto former = m_formerOwners.begin(); former != m_formerOwners.end();) {
        // A new process runs at its address, or the former owner reports that it no longer holds the cell.
        const bool replaced = former->second.owner == heartbeat->id ? !heartbeat->mayGrantLeases(former->first)
                                                                    : former->second.address == heartbeat->address;
        // During the takeover no engine exists yet; the next heartbeat repeats the information.
        CellEngine* const own = replaced ? engine(former->first) : nullptr;
        if (own)
            own->formerOwnerStopped();
        former = own ? m_formerOwners.erase(former) : std::next(former);
    }
    if (m_onHeartbeat)
        m_onHeartbeat(*heartbeat);
    m_directory.recordHeartbeat(std::move(*heartbeat), text, now);
}

void CellOwnership::tick()
{
    m_ports.runtime.schedule(m_settings.tickInterval, m_lifetime.guard([this] { tick(); }));
    detectStall();
    if (m_draining)
        return;
    const Common::WorkTimes::Scope work(Common::WorkKind::OwnerChoice);
    rankOwners();
    for (const CellId& cell : m_layout.cells()) {
        if (m_engines.contains(cell))
            considerHandOver(cell);
        else if (!m_claims.contains(cell))
            considerClaim(cell);
        considerRelief(cell);
    }
}

bool CellOwnership::isLate() const { return m_lag.isLate(m_ports.runtime.now()); }

/// A process that was stalled has missed heartbeats. It must not take other hosts for dead until it has received
/// heartbeats again for the host timeout.
void CellOwnership::detectStall()
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    const Common::Duration delay = now - std::exchange(m_lastTick, now) - m_settings.tickInterval;
    m_lag.record(now, m_settings.tickInterval, delay);
    if (std::exchange(m_wasLate, isLate()) != isLate())
        LC_WARN(Core, "event=" << (isLate() ? "host-late" : "host-in-time") << " cells=" << m_engines.size());
    if (delay > tolerableLag)
        m_lateAt = now;
    if (delay > maximumTickDelay) {
        LC_WARN(Core, "event=stood-still");
        m_resumedAt = now;
    }
}

const CellOwnership::Owner* CellOwnership::liveOwner(const CellId& cell) const
{
    const auto owner = m_owners.find(cell);
    if (owner == m_owners.end() || owner->second.released)
        return nullptr;
    const bool alive = m_ports.runtime.now() - owner->second.lastHeartbeatAt < m_settings.hostTimeout
        && !m_directory.isReplaced(owner->second.id);
    return alive ? &owner->second : nullptr;
}

size_t CellOwnership::servedCells() const
{
    size_t served = m_engines.size();
    for (const auto& [cell, owner] : m_owners)
        served += !m_engines.contains(cell) && liveOwner(cell) ? 1 : 0;
    return served;
}

CellEngine* CellOwnership::engine(const CellId& cell)
{
    const auto found = m_engines.find(cell);
    return found == m_engines.end() ? nullptr : found->second.get();
}

Common::RegionId CellOwnership::regionOf(const Common::DomainId& domain) const
{
    if (m_settings.domain == domain)
        return m_settings.region;
    for (const HostHeartbeat* const host : m_directory.liveHosts(m_ports.runtime.now())) {
        if (host->domain == domain)
            return host->region;
    }
    return {};
}

/// Everything that the ranks depend on, besides the layout and this host's own settings.
std::string CellOwnership::rankInputs(const std::vector<const HostHeartbeat*>& live) const
{
    const auto state
        = [](bool storeAvailable, bool late) { return std::string(storeAvailable ? "+" : "-") + (late ? "late" : ""); };
    std::string inputs = std::to_string(m_layout.cells().size()) + state(m_storeAvailable, isLate());
    for (const HostHeartbeat* const host : live) {
        if (!host->draining)
            inputs += host->id.value() + "," + std::to_string(host->weight) + state(host->storeAvailable, host->late);
    }
    return inputs;
}

void CellOwnership::rankOwners()
{
    const std::vector<const HostHeartbeat*> live = m_directory.liveHosts(m_ports.runtime.now());
    const std::string inputs = rankInputs(live);
    if (inputs == m_rankInputs)
        return;
    m_rankInputs = inputs;
    m_ranks.clear();
    std::vector<Common::DaemonId> hosts { m_settings.id };
    for (const HostHeartbeat* const host : live) {
        if (!host->draining)
            hosts.push_back(host->id);
    }
    std::vector<Policy::CellCandidates> cells;
    for (const CellId& cell : m_layout.cells()) {
        const Common::DomainId domain = m_layout.domainOf(cell);
        const Common::RegionId regionOfCell = regionOf(domain);
        Policy::CellCandidates row { cell.value(), {} };
        // Ranked by address, not by id: the id contains the boot, and a restarted host is to get the same cells again.
        row.hosts.push_back({ m_settings.address, m_settings.weight, m_settings.domain == domain,
            m_settings.region == regionOfCell, m_storeAvailable, isLate() });
        for (const HostHeartbeat* const host : live) {
            if (!host->draining)
                row.hosts.push_back({ host->address, host->weight, host->domain == domain, host->region == regionOfCell,
                    host->storeAvailable, host->late });
        }
        cells.push_back(std::move(row));
    }
    const std::vector<std::vector<size_t>> orders = Policy::rankCellOwners(cells);
    for (size_t index = 0; index < cells.size(); ++index) {
        std::vector<Common::DaemonId>& ranked = m_ranks[CellId(cells[index].cell)];
        for (const size_t host : orders[index])
            ranked.push_back(hosts[host]);
    }
}

bool CellOwnership::isOwnerless(const CellId& cell) const { return liveOwner(cell) == nullptr; }

void CellOwnership::considerClaim(const CellId& cell)
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    const bool hasCurrentView = now - m_startedAt >= m_settings.startupGrace
        && (!m_resumedAt || now - *m_resumedAt >= m_settings.hostTimeout);
    if (!isOwnerless(cell))
        m_lateProbes.erase(cell);
    if (!isOwnerless(cell) || !hasCurrentView) {
        m_ownerlessSince.erase(cell);
        return;
    }
    const Common::MonotonicTime since = m_ownerlessSince.try_emplace(cell, now).first->second;
    if (now - since >= claimDelay(cell))
        claim(cell);
}

/// How long this host leaves the ownerless cell to hosts that should rather own it.
Common::Duration CellOwnership::claimDelay(const CellId& cell) const
{
    const std::vector<Common::DaemonId>& ranked = m_ranks.at(cell);
    const auto rank = std::find(ranked.begin(), ranked.end(), m_settings.id) - ranked.begin();
    const std::vector<const HostHeartbeat*> live = m_directory.liveHosts(m_ports.runtime.now());
    const bool othersInTime = std::any_of(
        live.begin(), live.end(), [](const HostHeartbeat* host) { return !host->late && !host->draining; });
    // A host that hears nobody ranks itself first.
    const bool hearsNobody = live.empty() && !m_directory.heartbeatAddresses().empty();
    const bool unfit = (isLate() && othersInTime) || hearsNobody;
    return rank * m_settings.claimStagger + (unfit ? unfitClaimDelay : Common::Duration::zero());
}

/// Asks a late owner to release a cell for which this host is preferred. An owner that hears no heartbeats doesn't know
/// of a better one.
void CellOwnership::considerRelief(const CellId& cell)
{
    const bool isOwn = m_engines.contains(cell) || m_claims.contains(cell);
    const Owner* const owner = isOwn ? nullptr : liveOwner(cell);
    const HostHeartbeat* const host = owner ? m_directory.find(owner->id) : nullptr;
    if (!host || !host->late || isLate() || m_ranks.at(cell).front() != m_settings.id) {
        m_lateOwnerSince.erase(cell);
        return;
    }
    const Common::MonotonicTime now = m_ports.runtime.now();
    const Common::MonotonicTime since = m_lateOwnerSince.try_emplace(cell, now).first->second;
    if (now - since < m_settings.reliefDelay || !m_reliefRequest)
        return;
    LC_WARN(Jobs, "event=cell-relief-asked cell=" << cell.value() << " owner=" << owner->id.value());
    m_lateOwnerSince.erase(cell);
    m_reliefRequest(owner->address, cell);
}

void CellOwnership::releaseIfLate(const CellId& cell)
{
    if (!isLate() || !m_engines.contains(cell) || m_releasing.contains(cell))
        return;
    LC_WARN(Jobs, "event=cell-relieved cell=" << cell.value());
    m_betterOwnerSince.erase(cell);
    releaseCell(cell, [] {});
}

void CellOwnership::considerHandOver(const CellId& cell)
{
    // A successor would have to wait again for workers that haven't answered yet; a late owner may never hear them.
    if (m_releasing.contains(cell) || (!isLate() && !m_engines.at(cell)->hasContactedInheritedWorkers()))
        return;
    const Common::MonotonicTime now = m_ports.runtime.now();
    const Common::DaemonId& first = m_ranks.at(cell).front();
    if (first == m_settings.id) {
        m_betterOwnerSince.erase(cell);
        return;
    }
    const Common::MonotonicTime since = m_betterOwnerSince.try_emplace(cell, now).first->second;
    const Common::Duration delay = isLate() ? m_settings.reliefDelay : m_settings.handOverDelay;
    if (now - since < delay || !m_releasing.empty())
        return;
    LC_INFO(Jobs, "event=cell-hand-over cell=" << cell.value() << " to=" << first.value());
    m_betterOwnerSince.erase(cell);
    releaseCell(cell, [] {});
}

void CellOwnership::releaseCell(const CellId& cell, std::function<void()> done)
{
    m_releasing.insert(cell);
    m_engines.at(cell)->release(m_lifetime.guard([this, cell, done = std::move(done)] {
        m_releasedAt[cell] = m_ports.runtime.now();
        LC_INFO(Jobs, "event=cell-released cell=" << cell.value());
        removeEngine(cell);
        // Informs the successor without waiting for the next regular heartbeat.
        sendHeartbeat();
        done();
    }));
}

/// The engine may be the caller, so it is destroyed in a later event.
void CellOwnership::removeEngine(const CellId& cell)
{
    auto engine = m_engines.extract(cell);
    m_releasing.erase(cell);
    if (engine.empty())
        return;
    std::shared_ptr<CellEngine> ending = std::move(engine.mapped());
    m_ports.runtime.schedule(Common::Duration::zero(), [ending] {});
}

void CellOwnership::claim(const CellId& cell)
{
    m_claims.emplace(cell, Claim { m_ports.runtime.now(), false, m_ports.runtime.suspendAwareNow() });
    m_ports.store.get(StoreKeys::cell(cell), Freshness::Linearizable,
        m_lifetime.guard([this, cell](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (!found)
                endClaim(cell, "the cell record can't be read");
            else
                onRecord(cell, *found);
        }));
}

void CellOwnership::endClaim(const CellId& cell, const char* reason)
{
    LC_INFO(Jobs, "event=claim-ended cell=" << cell.value() << " reason=" << reason);
    m_claims.erase(cell);
    // Restarts the wait that precedes a claim.
    m_ownerlessSince.erase(cell);
}

void CellOwnership::onRecord(const CellId& cell, const std::optional<Scheduler::StoreValue>& found)
{
    if (m_draining) {
        endClaim(cell, "draining");
        return;
    }
    if (!found) {
        m_formerOwners.erase(cell);
        writeClaim(cell, CellRecord { m_settings.id, m_settings.address, FencingToken { 1 }, 0, false }, {}, true);
        return;
    }
    const auto record = CellRecord::decode(found->value);
    if (!record) {
        LC_ERROR(Store, "event=unreadable-record key=" << found->key << " reason=" << record.reason().detail);
        endClaim(cell, "the cell record can't be read");
        return;
    }
    if (record->owner == m_settings.id && !record->released) {
        // An earlier claim whose answer was lost.
        readCell(cell, *record, found->revision, false);
        return;
    }
    Owner& owner = m_owners[cell];
    if (record->token > owner.token && !record->released && m_directory.isAlive(record->owner, m_ports.runtime.now())) {
        owner = Owner { record->owner, record->address, record->token, {}, m_ports.runtime.now(), false };
        endClaim(cell, "another host owns the cell");
        return;
    }
    if (mayOwnerBeAlive(cell, *record)) {
        endClaim(cell, "the recorded owner may be alive but not yet discovered");
        return;
    }
    if (m_ownerProbe && !isProvablyStopped(*record))
        probeOwner(cell, *record, found->revision);
    else
        replaceOwner(cell, *record, found->revision, isProvablyStopped(*record));
}

/// Asks an owner whose heartbeats don't arrive. Heartbeats are datagrams: a host that is late loses those of all
/// others, and would otherwise take the cells of owners that are well.
void CellOwnership::probeOwner(const CellId& cell, const CellRecord& record, Common::StoreRevision revision)
{
    const Common::Duration timeout
        = m_lateProbes.try_emplace(cell, LateProbes { ownerProbeTimeout }).first->second.timeout;
    const auto window = std::make_shared<AnswerWindow>(m_ports.runtime, timeout);
    const Common::MonotonicTime askedAt = m_ports.runtime.now();
    m_ownerProbe(record.address, cell, timeout,
        m_lifetime.guard([this, cell, record, revision, askedAt, window](const Common::Result<ProbeAnswer>& answer) {
            onProbed(cell, record, revision, answer, window->wasRead(), askedAt);
        }));
}

void CellOwnership::onProbed(const CellId& cell, const CellRecord& record, Common::StoreRevision revision,
    const Common::Result<ProbeAnswer>& answer, bool wasRead, Common::MonotonicTime askedAt)
{
    if (answer && answer->process == record.owner && answer->holdsCell) {
        Owner& owner = m_owners[cell];
        if (owner.token != record.token)
            owner = Owner { record.owner, record.address, record.token, {}, {}, false };
        owner.lastHeartbeatAt = m_ports.runtime.now();
        m_lateProbes.erase(cell);
        endClaim(cell, "the owner answers calls, only its heartbeats don't arrive");
        return;
    }
    if (!answer && liveOwner(cell)) {
        endClaim(cell, "the owner was heard during the probe");
        return;
    }
    if (!answer && !isProofOfDeath(cell, record, answer.reason(), wasRead, askedAt)) {
        endClaim(cell, "the owner may be well");
        return;
    }
    m_lateProbes.erase(cell);
    LC_INFO(Jobs,
        "event=owner-unanswered cell=" << cell.value() << " owner=" << record.owner.value() << " reason="
                                       << (answer ? "not-owner" : Common::errorName(answer.reason().code)));
    replaceOwner(cell, record, revision, answer && answer->process != record.owner);
}

/// Whether the failed probe shows that the owner is dead. If this host was too late to tell, the next probe gets more
/// time.
bool CellOwnership::isProofOfDeath(const CellId& cell, const CellRecord& record, const Common::Failure& reason,
    bool wasRead, Common::MonotonicTime askedAt)
{
    // A host of an earlier release answers that it doesn't know the call. Its heartbeats tell what it owns.
    if (reason.code == Common::ErrorCode::ProtocolError)
        return m_directory.isAlive(record.owner, m_ports.runtime.now());
    if (wasRead)
        return true;
    LateProbes& late = m_lateProbes[cell];
    if (reason.code == Common::ErrorCode::Timeout) {
        late.timeout = std::min(2 * late.timeout, longestOwnerProbeTimeout);
        return false;
    }
    return !wasLateSince(askedAt) || ++late.connectFailures >= maximumLateConnectFailures;
}

bool CellOwnership::holds(const CellId& cell) const
{
    if (const auto pending = m_claims.find(cell); pending != m_claims.end())
        return pending->second.written;
    const auto own = m_engines.find(cell);
    return own != m_engines.end() && !m_releasing.contains(cell) && own->second->mayGrantLeases();
}

bool CellOwnership::wasLateSince(Common::MonotonicTime since) const
{
    return m_lateAt >= since || m_ports.runtime.now() - m_lastTick > m_settings.tickInterval + tolerableLag;
}

void CellOwnership::replaceOwner(
    const CellId& cell, const CellRecord& record, Common::StoreRevision revision, bool formerOwnerStopped)
{
    if (m_draining) {
        endClaim(cell, "draining");
        return;
    }
    m_formerOwners[cell] = record;
    writeClaim(cell,
        CellRecord { m_settings.id, m_settings.address, FencingToken { record.token.value + 1 }, 0, false }, revision,
        formerOwnerStopped);
}

/// Whether the recorded owner may be alive but not yet discovered: a host that has just started doesn't know all
/// others. Its address is learned so that it gets this host's heartbeats, and it has the host timeout to answer.
bool CellOwnership::mayOwnerBeAlive(const CellId& cell, const CellRecord& record)
{
    if (isProvablyStopped(record) || m_directory.find(record.owner))
        return false;
    const Common::MonotonicTime now = m_ports.runtime.now();
    UnconfirmedOwner& unconfirmed = m_unconfirmedOwners[cell];
    if (unconfirmed.token != record.token)
        unconfirmed = UnconfirmedOwner { record.token, now };
    // All hosts receive heartbeats at the same port.
    const std::string host = record.address.substr(0, record.address.rfind(':'));
    m_directory.learnAddress(host + m_settings.heartbeatAddress.substr(m_settings.heartbeatAddress.rfind(':')), now);
    return now - unconfirmed.since < m_settings.hostTimeout;
}

/// Whether the process that the record names is certain to send no more orders.
bool CellOwnership::isProvablyStopped(const CellRecord& record) const
{
    if (record.released || record.address == m_settings.address || m_directory.isReplaced(record.owner))
        return true;
    // A different process runs at its address.
    const std::vector<const HostHeartbeat*> hosts = m_directory.liveHosts(m_ports.runtime.now());
    return std::any_of(hosts.begin(), hosts.end(),
        [&](const HostHeartbeat* host) { return host->address == record.address && host->id != record.owner; });
}

void CellOwnership::writeClaim(
    const CellId& cell, const CellRecord& record, Common::StoreRevision expected, bool formerOwnerStopped)
{
    m_claims.at(cell).confirmedAt = m_ports.runtime.suspendAwareNow();
    RecordTransaction transaction;
    transaction.expected.emplace_back(StoreKeys::cell(cell), expected);
    transaction.puts.push_back({ StoreKeys::cell(cell), record.encode(), {} });
    m_ports.store.commit(std::move(transaction),
        m_lifetime.guard([this, cell, record, formerOwnerStopped](const Common::Result<TransactionOutcome>& outcome) {
            const auto* const committed = outcome ? std::get_if<Committed>(&*outcome) : nullptr;
            if (committed)
                readCell(cell, record, committed->revision, formerOwnerStopped);
            else
                endClaim(cell, outcome ? "another host claimed the cell first" : "the write of the claim failed");
        }));
}

void CellOwnership::readCell(
    const CellId& cell, const CellRecord& record, Common::StoreRevision fence, bool formerOwnerStopped)
{
    m_claims.at(cell).written = true;
    LC_INFO(Jobs, "event=cell-claimed cell=" << cell.value() << " token=" << record.token.value);
    m_ports.store.list(StoreKeys::jobs(cell), Freshness::Linearizable,
        m_lifetime.guard([this, cell, record, fence, formerOwnerStopped](const Common::Result<RecordListing>& jobs) {
            if (!jobs || jobs->unreadable > 0) {
                endClaim(cell, "the job records can't be read");
                return;
            }
            CellEngine::RecoveredCell recoveredCell { record, fence, {}, {}, formerOwnerStopped, {}, {}, {} };
            for (const Scheduler::StoreValue& value : jobs->records) {
                if (value.key == StoreKeys::pressureEstimates(cell)) {
                    recoveredCell.pressureEstimates = readPressureEstimates(value);
                    continue;
                }
                if (StoreKeys::isTaskTransfer(value.key)) {
                    if (auto transfer = readTransfer(value))
                        recoveredCell.transfers.push_back(std::move(*transfer));
                    continue;
                }
                auto job = Jobs::JobRecord::decode(value.value);
                if (job)
                    recoveredCell.jobs.push_back(std::move(*job));
                else
                    LC_ERROR(Store, "event=unreadable-record key=" << value.key << " reason=" << job.reason().detail);
            }
            m_ports.store.get(StoreKeys::cellWorkers(cell), Freshness::Linearizable,
                m_lifetime.guard([this, cell, recoveredCell = std::move(recoveredCell)](
                                     const Common::Result<std::optional<Scheduler::StoreValue>>& workers) mutable {
                    if (!workers) {
                        endClaim(cell, "the worker record can't be read");
                        return;
                    }
                    recoveredCell.workers = readWorkers(*workers);
                    takeOwnership(cell, std::move(recoveredCell));
                }));
        }));
}

void CellOwnership::takeOwnership(const CellId& cell, CellEngine::RecoveredCell recoveredCell)
{
    recoveredCell.confirmedAt = m_claims.at(cell).confirmedAt;
    m_claims.erase(cell);
    if (m_draining)
        return;
    m_ownerlessSince.erase(cell);
    m_releasedAt.erase(cell);
    const size_t jobs = recoveredCell.jobs.size();
    const FencingToken token = recoveredCell.record.token;
    auto engine = std::make_unique<CellEngine>(m_ports.runtime, m_ports.store, m_ports.orders, cell, m_cellSettings,
        std::move(recoveredCell), peerCells(), m_lifetime.guard([this, cell] {
            m_owners.erase(cell);
            removeEngine(cell);
        }));
    LC_INFO(Jobs, "event=cell-owned cell=" << cell.value() << " token=" << token.value << " jobs=" << jobs);
    for (const auto& [other, pressureEstimates] : m_pressureEstimates) {
        if (other != cell)
            engine->adopt(other, pressureEstimates);
    }
    m_engines[cell] = std::move(engine);
    m_owners.erase(cell);
    sendHeartbeat();
    if (!m_watchingList) {
        listWorkers();
        return;
    }
    for (const auto& [id, entry] : m_listedWorkers)
        listWorker(entry);
}

CellEngine::PeerCells CellOwnership::peerCells()
{
    return CellEngine::PeerCells {
        .taskSlots = [this](const CellId& self, const Common::ServiceName& service, const Jobs::StepSpec& spec,
                         CellLoad::RoomKind kind) { return taskSlots(self, service, spec, kind); },
        .serviceRooms = [this](const CellId& self) { return serviceRooms(self); },
        .sendTransfer = [this](const TaskTransfer& transfer) { notifyOwner(transfer.to, transfer); },
        .requestTransferCheck
        = [this](const CellId& cell, const Common::JobId& job) { requestTransferCheck(cell, job); },
        .cancel = [this](const CellId& cell, const Jobs::JobRecord& part,
                      const std::function<void()>& handled) { notifyOwner(cell, part, handled); },
    };
}

void CellOwnership::requestTransferCheck(const CellId& cell, const Common::JobId& job)
{
    m_ports.store.list(StoreKeys::job(cell, job) + StoreKeys::transferMarker, Freshness::Linearizable,
        m_lifetime.guard([this, cell, job](const Common::Result<RecordListing>& found) {
            if (!found) {
                LC_WARN(Store,
                    "event=transfers-unread cell=" << cell.value() << " job=" << job.value()
                                                   << " reason=" << Common::errorName(found.reason().code));
                m_ports.runtime.schedule(
                    storeRetryPause, m_lifetime.guard([this, cell, job] { requestTransferCheck(cell, job); }));
                return;
            }
            for (const Scheduler::StoreValue& value : found->records) {
                if (const auto transfer = readTransfer(value))
                    notifyOwner(cell, *transfer);
            }
        }));
}

ServiceRooms CellOwnership::serviceRooms(const CellId& self) const
{
    ServiceRooms rooms;
    for (const CellId& cell : m_layout.cells()) {
        const auto own = m_engines.find(cell);
        const Owner* const other = own == m_engines.end() ? liveOwner(cell) : nullptr;
        if (cell == self || (own == m_engines.end() && !other))
            continue;
        for (const auto& [service, room] : other ? other->load.serviceRooms() : own->second->serviceRooms())
            rooms[service] += room;
    }
    return rooms;
}

std::map<CellId, size_t> CellOwnership::taskSlots(
    const CellId& self, const Common::ServiceName& service, const Jobs::StepSpec& spec, CellLoad::RoomKind kind) const
{
    std::map<CellId, size_t> found;
    for (const CellId& cell : m_layout.cells()) {
        const auto own = m_engines.find(cell);
        const Owner* const other = own == m_engines.end() ? liveOwner(cell) : nullptr;
        if (cell == self || (own == m_engines.end() && !other))
            continue;
        found[cell] = (other ? other->load : own->second->load()).taskSlotsFor(service, spec, kind);
    }
    return found;
}

/// Retries until the cell's owner at that time has handled the message, then calls `handled`.
void CellOwnership::notifyOwner(const CellId& cell, const PartMessage& message, const std::function<void()>& handled)
{
    const auto again = m_lifetime.guard([this, cell, message, handled] { notifyOwner(cell, message, handled); });
    const auto onAnswer = m_lifetime.guard([this, cell, again, handled](const Common::Result<Common::Done>& answer) {
        if (answer) {
            if (handled)
                handled();
            return;
        }
        LC_WARN(Peer,
            "event=part-message-unanswered cell=" << cell.value()
                                                  << " reason=" << Common::errorName(answer.reason().code));
        m_ports.runtime.schedule(storeRetryPause, again);
    });
    const Owner* const owner = liveOwner(cell);
    if (CellEngine* const own = engine(cell))
        own->handlePartMessage(message, onAnswer);
    else if (owner && m_messenger)
        m_messenger(owner->address, cell, message, onAnswer);
    else
        m_ports.runtime.schedule(storeRetryPause, again);
}

void CellOwnership::listWorkers()
{
    m_watchingList = true;
    m_ports.workers.list(m_lifetime.guard([this](const Common::Result<WorkerChanges>& listed) {
        if (!listed) {
            m_ports.runtime.schedule(storeRetryPause, m_lifetime.guard([this] { listWorkers(); }));
            return;
        }
        WorkerChanges changes = *listed;
        std::set<Common::WorkerId> present;
        for (const WorkerEntry& entry : changes.listed)
            present.insert(entry.id);
        for (const auto& [id, entry] : m_listedWorkers) {
            if (!present.contains(id))
                changes.removed.push_back(id);
        }
        // All entries are reported again: a cell may have been taken over since the last listing.
        std::erase_if(m_listedWorkers, [&](const auto& row) { return present.contains(row.first); });
        onWorkers(changes);
        for (const auto& [cell, engine] : m_engines)
            engine->unlistOthers(m_listedWorkers);
        watchWorkers();
    }));
}

void CellOwnership::watchWorkers()
{
    if (m_engines.empty() && m_claims.empty()) {
        m_watchingList = false;
        return;
    }
    m_ports.workers.watch(m_listRevision, m_settings.workerListWait,
        m_lifetime.guard([this](const Common::Result<WorkerChanges>& changes) {
            if (changes)
                onWorkers(*changes);
            const bool historyLost = !changes && changes.reason().code == Common::ErrorCode::HistoryLost;
            m_ports.runtime.schedule(
                changes ? m_settings.workerListPause : storeRetryPause, m_lifetime.guard([this, historyLost] {
                    if (historyLost)
                        listWorkers();
                    else
                        watchWorkers();
                }));
        }));
}

void CellOwnership::onWorkers(const WorkerChanges& changes)
{
    m_listRevision = changes.upTo;
    for (const WorkerEntry& entry : changes.listed) {
        WorkerEntry& known = m_listedWorkers[entry.id];
        if (known == entry)
            continue;
        if (entry.draining && !known.draining)
            LC_INFO(Worker, "event=worker-draining worker=" << entry.id.value());
        known = entry;
        listWorker(entry);
    }
    for (const Common::WorkerId& id : changes.removed) {
        if (m_listedWorkers.erase(id) == 0)
            continue;
        LC_INFO(Worker, "event=worker-unlisted worker=" << id.value());
        for (const auto& [cell, engine] : m_engines)
            engine->unlistWorker(id);
    }
}

void CellOwnership::listWorker(const WorkerEntry& entry)
{
    if (CellEngine* const owner = engine(m_layout.cellOf(entry)))
        owner->listWorker(entry);
}

void CellOwnership::drain(const std::function<void()>& done)
{
    m_draining = true;
    sendHeartbeat();
    const auto left = std::make_shared<size_t>(m_engines.size());
    if (m_engines.empty()) {
        done();
        return;
    }
    std::vector<CellId> cells;
    for (const auto& [cell, engine] : m_engines)
        cells.push_back(cell);
    for (const CellId& cell : cells) {
        if (m_releasing.contains(cell)) {
            --*left;
            continue;
        }
        releaseCell(cell, [left, done] {
            if (--*left == 0)
                done();
        });
    }
    if (*left == 0)
        done();
}

} // namespace Cells
