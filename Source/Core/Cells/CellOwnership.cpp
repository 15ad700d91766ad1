// Layout, heartbeats, claims and releases of cells, and the platform's list of workers.
#include "Cells/CellOwnership.h"

#include "Cells/AnswerWindow.h"
#include "Cells/PressureEstimateCodec.h"
#include "Cells/StoreKeys.h"
#include "Cells/TokenRange.h"
#include "Common/Bounds.h"
#include "Common/Hash.h"
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
    /// So many jobs' transfers are read from the store at a time.
    constexpr size_t maximumTransferChecks = 16;
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
    /// Time after the start during which heartbeats are sent faster.
    constexpr Common::Duration discoveryPeriod = std::chrono::seconds(2);
    /// Cells without an owner aren't claimed until no host has been discovered for this time, or the second time has
    /// passed since the start: ranks of hosts that know different hosts differ, and cells would move soon.
    constexpr Common::Duration discoveryPause = std::chrono::milliseconds(600);
    constexpr Common::Duration longestDiscovery = std::chrono::seconds(3);
    /// How long heartbeats announce that a cell was released.
    constexpr Common::Duration releaseAnnouncementPeriod = std::chrono::seconds(2);
    /// Every n-th report of a cell carries pressure estimates, at most this many pairs.
    constexpr uint64_t roundsPerEstimates = 4;
    constexpr size_t maximumSentPressureEstimates = 60;
    /// Steps that want room, of each cell in one round: some 60 bytes each.
    constexpr size_t mostWantedSent = 4;
    /// How long a step counts that was left out of later loads of its cell, which name some of several.
    constexpr Common::Duration wantedMemory = std::chrono::seconds(4);
    /// Loads are sent to this many hosts of the own domain and of other domains in each round, to all in rotation.
    constexpr size_t loadReceiversInDomain = 2;
    constexpr size_t loadReceiversElsewhere = 6;
    /// Addresses listed in heartbeats for hosts of an earlier release.
    constexpr size_t addressesForEarlierRelease = 8;
    /// A host that is too small for a cell leaves one to at most this many larger ones and as many others of its size.
    constexpr size_t maximumClaimRank = 8;
    /// A host that may not own cells looks for ownerless ones in every n-th tick only.
    constexpr uint64_t ticksPerLookOfSmallHost = 5;
    /// A silent worker is polled through a host of its domain in so many of so many choices, otherwise through any
    /// host.
    constexpr uint64_t hostChoicesInDomain = 3;
    constexpr uint64_t hostChoices = 4;
    /// The owner of a cell is watched by this many of the hosts that would replace it.
    constexpr size_t watchingSuccessors = 2;

    RecordedWorker::LateStart readLateStart(const nlohmann::json& element)
    {
        const Common::JsonField row(element, "a late start");
        RecordedWorker::LateStart start;
        start.task.job = Common::JobId(row.element(0).text());
        start.task.occurrence = row.element(1).count();
        start.task.step = row.element(2).count();
        start.task.index = row.element(3).count();
        start.endMilliseconds = row.element(4).amount(0, Common::maximumClockMilliseconds);
        return start;
    }

    std::vector<RecordedWorker> readWorkers(const std::optional<Scheduler::StoreValue>& record)
    {
        std::vector<RecordedWorker> workers;
        if (!record)
            return workers;
        try {
            const nlohmann::json rows = Common::parseJsonOrThrow(record->value);
            for (const nlohmann::json& element : Common::JsonField(rows, "the workers").list()) {
                const Common::JsonField row(element, "a worker");
                RecordedWorker worker;
                worker.id = Common::WorkerId(row.element(0).text());
                worker.address = row.element(1).text();
                worker.startedAtMilliseconds = row.element(2).otherwise(0).amount(0, Common::maximumClockMilliseconds);
                worker.lateCallsEndMilliseconds
                    = row.element(3).otherwise(0).amount(0, Common::maximumClockMilliseconds);
                for (const nlohmann::json& start : row.element(4).listOrEmpty())
                    worker.lateStarts.push_back(readLateStart(start));
                workers.push_back(std::move(worker));
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

    /// Notes when the steps of a new load were heard of, and adds those of the load before that it may have left out.
    void keepWanted(const std::vector<WantedRoom>& before, std::vector<WantedRoom>& wanted, Common::MonotonicTime now)
    {
        for (WantedRoom& want : wanted)
            want.heardAt = now;
        if (wanted.size() < mostWantedSent)
            return;
        for (const WantedRoom& earlier : before) {
            const bool isNamed = std::any_of(wanted.begin(), wanted.end(), [&earlier](const WantedRoom& want) {
                const Jobs::TaskName& a = want.question.task;
                const Jobs::TaskName& b = earlier.question.task;
                return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
            });
            if (!isNamed && now - earlier.heardAt < wantedMemory)
                wanted.push_back(earlier);
        }
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
    , m_gossip(ports.runtime, ports.heartbeats, settings, m_directory)
    , m_partOutbox(ports.runtime,
          { .ownerAddress = [this](const CellId& cell) { return addressForParts(cell); },
              .send =
                  [this](const std::string& address, const CellId& cell, const PartMessage& message,
                      Common::Duration timeout, const Common::Callback<Common::Done>& callback) {
                      sendPartMessage(address, cell, message, timeout, callback);
                  } })
{
}

CellOwnership::~CellOwnership() = default;

void CellOwnership::start()
{
    m_startedAt = m_ports.runtime.now();
    m_lastTick = m_startedAt;
    m_startedAtMilliseconds = m_ports.runtime.wallMilliseconds();
    m_discoveredAt = m_startedAt;
    // Owners don't all send their loads to the same hosts.
    m_loadRounds = m_ports.runtime.random()() % (UINT64_C(1) << 32U);
    m_gossip.start({ .onState = [this](const HostState& state, bool isNewHost) { onState(state, isNewHost); },
        .onContact = [this](const HostGossip::Contact& contact) { onContact(contact); },
        .onCellFrame = [this](const GossipFrame& frame) { onCellFrame(frame); },
        .onEarlierRelease = [this](const HostHeartbeat& heartbeat) { onEarlierRelease(heartbeat); },
        .heartbeatForEarlierRelease = [this] { return heartbeatForEarlierRelease(); } });
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
    const Common::WorkTimes::Scope work(Common::WorkKind::HeartbeatsSent);
    std::erase_if(m_releasedAt,
        [now = m_ports.runtime.now()](const auto& row) { return now - row.second > releaseAnnouncementPeriod; });
    m_gossip.publish(ownState());
    m_gossip.sendRound();
    sendLoads();
}

bool CellOwnership::isDiscoveringHosts() const { return m_ports.runtime.now() - m_startedAt < discoveryPeriod; }

HostState CellOwnership::ownState() const
{
    HostState state { m_settings.id, m_settings.address, m_settings.heartbeatAddress, m_settings.domain,
        m_settings.region, m_settings.weight, m_startedAtMilliseconds, m_draining, isLate(), m_storeAvailable, {}, {},
        {} };
    for (const auto& [cell, engine] : m_engines) {
        // An owner that can't act doesn't keep others from the cell, but the store may still confirm it.
        if (!engine->mayGrantLeases())
            state.transitioningCells.push_back(cell);
        else if (!m_releasing.contains(cell))
            state.cells.push_back({ cell, engine->token() });
    }
    state.transitioningCells.insert(state.transitioningCells.end(), m_releasing.begin(), m_releasing.end());
    for (const auto& [cell, pending] : m_claims)
        state.transitioningCells.push_back(cell);
    for (const auto& [cell, since] : m_releasedAt)
        state.released.push_back(cell);
    return state;
}

/// Tells other hosts at once that this host's cells have changed.
void CellOwnership::announce()
{
    const Common::WorkTimes::Scope work(Common::WorkKind::HeartbeatsSent);
    m_gossip.publish(ownState());
    m_gossip.flush();
    sendLoads();
}

void CellOwnership::sendLoads()
{
    if (m_engines.empty())
        return;
    const bool sendEstimates = ++m_loadRounds % roundsPerEstimates == 0;
    std::vector<std::string> frames;
    for (const auto& [cell, engine] : m_engines) {
        if (m_releasing.contains(cell) || !engine->mayGrantLeases())
            continue;
        CellReport report { m_settings.id, { cell, engine->token(), engine->load(), {} }, ++m_loadVersion };
        report.cell.load.wantedRoom = engine->wantedRoom(mostWantedSent);
        if (sendEstimates)
            report.cell.pressureEstimates = engine->pressureEstimates(maximumSentPressureEstimates);
        frames.push_back(report.encode());
    }
    if (frames.empty())
        return;
    for (const HostState* const host : loadReceivers())
        m_gossip.sendCells(*host, frames);
}

/// The hosts that get this round's loads; all hosts that may own cells get them in turn.
std::vector<const HostState*> CellOwnership::loadReceivers()
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    std::set<Common::DaemonId> ids = m_cellHosts;
    for (const auto& [cell, owner] : m_owners)
        ids.insert(owner.id);
    std::vector<const HostState*> near;
    std::vector<const HostState*> far;
    for (const Common::DaemonId& id : ids) {
        const HostState* const host = m_directory.isAlive(id, now) ? m_directory.find(id) : nullptr;
        if (host)
            (host->domain == m_settings.domain ? near : far).push_back(host);
    }
    const auto takeTurn = [this](const std::vector<const HostState*>& hosts, size_t count) {
        std::vector<const HostState*> taken;
        for (size_t index = 0; index < std::min(count, hosts.size()); ++index)
            taken.push_back(hosts[(m_loadRounds * count + index) % hosts.size()]);
        return taken;
    };
    std::vector<const HostState*> receivers = takeTurn(near, loadReceiversInDomain);
    const size_t elsewhere = loadReceiversElsewhere + loadReceiversInDomain - receivers.size();
    for (const HostState* const host : takeTurn(far, elsewhere))
        receivers.push_back(host);
    return receivers;
}

std::string CellOwnership::heartbeatForEarlierRelease()
{
    const HostState state = ownState();
    HostHeartbeat message;
    message.id = state.id;
    message.address = state.address;
    message.heartbeatAddress = state.heartbeatAddress;
    message.domain = state.domain;
    message.region = state.region;
    message.weight = state.weight;
    message.startedAtMilliseconds = state.startedAtMilliseconds;
    message.draining = state.draining;
    message.late = state.late;
    message.storeAvailable = state.storeAvailable;
    message.configVersion = m_configVersion;
    for (const HostState::OwnedCell& owned : state.cells)
        message.cells.push_back({ owned.cell, owned.token, m_engines.at(owned.cell)->load(), {} });
    message.transitioningCells = state.transitioningCells;
    message.released = state.released;
    message.readsGossip = true;
    for (const HostState* const host : m_directory.liveHosts(m_ports.runtime.now())) {
        if (message.knownAddresses.size() < addressesForEarlierRelease)
            message.knownAddresses.push_back(host->heartbeatAddress);
    }
    return message.encode();
}

void CellOwnership::onState(const HostState& state, bool isNewHost)
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    if (isNewHost)
        m_discoveredAt = now;
    for (const HostState::OwnedCell& owned : state.cells) {
        Owner& owner = m_owners[owned.cell];
        if (owned.token < owner.token)
            continue;
        if (owner.id != state.id || owner.token != owned.token) {
            owner.id = state.id;
            owner.address = state.address;
            owner.token = owned.token;
            owner.loadVersion = 0;
            owner.confirmedAt.reset();
        }
        owner.unannouncedSince.reset();
        owner.releasedAt.reset();
    }
    for (auto& [cell, owner] : m_owners) {
        const bool isAnnounced = owner.id != state.id
            || std::find(state.cells.begin(), state.cells.end(), HostState::OwnedCell { cell, owner.token })
                != state.cells.end();
        if (!isAnnounced && !owner.unannouncedSince)
            owner.unannouncedSince = now;
    }
    for (const CellId& cell : state.released) {
        const auto owner = m_owners.find(cell);
        if (owner != m_owners.end() && owner->second.id == state.id && owner->second.unannouncedSince)
            owner->second.releasedAt = now;
    }
}

void CellOwnership::onContact(const HostGossip::Contact& contact)
{
    // A state that is older than the message may be older than the host's claim of a cell.
    if (contact.isCurrent)
        noteFormerOwners(contact.state);
    if (m_onConfigVersion)
        m_onConfigVersion(contact.state.address, contact.configVersion);
}

/// Notices that a former owner has stopped: another process runs at its address, or the former owner itself says that
/// it no longer holds the cell.
void CellOwnership::noteFormerOwners(const HostState& state)
{
    for (auto former = m_formerOwners.begin(); former != m_formerOwners.end();) {
        const bool stopped = former->second.owner == state.id ? !state.mayGrantLeases(former->first)
                                                              : former->second.address == state.address;
        // During the takeover no engine exists yet; the next message repeats the information.
        CellEngine* const own = stopped ? engine(former->first) : nullptr;
        if (own)
            own->formerOwnerStopped();
        former = own ? m_formerOwners.erase(former) : std::next(former);
    }
}

void CellOwnership::onCellFrame(const GossipFrame& frame)
{
    auto report = CellReport::decode(frame);
    if (report)
        onCellReport(std::move(*report));
    else
        LC_WARN(Peer, "event=unreadable-heartbeat reason=" << report.reason().detail);
}

void CellOwnership::onCellReport(CellReport report)
{
    HostHeartbeat::OwnedCell& cell = report.cell;
    const auto found = m_owners.find(cell.cell);
    // The owner announces the cell with its state.
    if (found == m_owners.end() || found->second.id != report.owner || found->second.token != cell.token
        || found->second.loadVersion >= report.version)
        return;
    keepWanted(found->second.load.wantedRoom, cell.load.wantedRoom, m_ports.runtime.now());
    found->second.load = std::move(cell.load);
    found->second.loadVersion = report.version;
    found->second.loadReceivedAt = m_ports.runtime.now();
    if (cell.pressureEstimates.empty())
        return;
    for (const auto& [own, engine] : m_engines)
        engine->adopt(cell.cell, cell.pressureEstimates);
    m_pressureEstimates[cell.cell] = std::move(cell.pressureEstimates);
}

void CellOwnership::onEarlierRelease(const HostHeartbeat& heartbeat)
{
    const HostState state = heartbeat.state();
    onState(state, false);
    for (const HostHeartbeat::OwnedCell& owned : heartbeat.cells) {
        const auto owner = m_owners.find(owned.cell);
        onCellReport({ heartbeat.id, owned, (owner == m_owners.end() ? 0 : owner->second.loadVersion) + 1 });
    }
    // A host that doesn't say which cells it is taking over or releasing may hold any.
    if (heartbeat.transitioningCells)
        noteFormerOwners(state);
    if (m_onConfigVersion)
        m_onConfigVersion(state.address, heartbeat.configVersion);
}

std::vector<std::string> CellOwnership::loadHolders() const
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    std::vector<std::pair<std::pair<int, uint64_t>, std::string>> hosts;
    for (const Common::DaemonId& id : m_cellHosts) {
        const HostState* const host = m_directory.isAlive(id, now) ? m_directory.find(id) : nullptr;
        if (!host || host->draining)
            continue;
        const int distance = host->domain == m_settings.domain ? 0 : host->region == m_settings.region ? 1 : 2;
        hosts.push_back({ { distance, Common::rendezvousWeight(m_settings.address, host->address) }, host->address });
    }
    std::sort(hosts.begin(), hosts.end());
    std::vector<std::string> addresses;
    addresses.reserve(hosts.size());
    for (auto& [order, address] : hosts)
        addresses.push_back(std::move(address));
    return addresses;
}

void CellOwnership::tick()
{
    m_ports.runtime.schedule(m_settings.tickInterval, m_lifetime.guard([this] { tick(); }));
    detectStall();
    if (m_draining)
        return;
    const Common::WorkTimes::Scope work(Common::WorkKind::OwnerChoice);
    m_directory.expire(m_ports.runtime.now());
    rankOwners();
    watchOwners();
    askFormerOwners();
    m_gossip.checkSilence();
    // A host that is too small for cells claims none for some seconds in any case.
    if (++m_ticks % ticksPerLookOfSmallHost != 0 && !m_mayOwnCells && m_engines.empty() && m_claims.empty())
        return;
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
        m_gossip.resumed();
    }
}

/// Whether the owner's newest state lists the cell.
bool CellOwnership::isAnnounced(const CellId& cell, const Owner& owner) const
{
    const HostState* const host = m_directory.find(owner.id);
    return host
        && std::find(host->cells.begin(), host->cells.end(), HostState::OwnedCell { cell, owner.token })
        != host->cells.end();
}

/// The states of other hosts may have told of the new owner while this host still believed that it was the owner; they
/// aren't news again.
void CellOwnership::findAnnouncedOwner(const CellId& cell)
{
    m_owners.erase(cell);
    for (const auto& [key, row] : m_directory.rows()) {
        for (const HostState::OwnedCell& owned : row.state.cells) {
            if (owned.cell != cell || owned.token < m_owners[cell].token)
                continue;
            Owner owner;
            owner.id = row.state.id;
            owner.address = row.state.address;
            owner.token = owned.token;
            m_owners[cell] = std::move(owner);
        }
    }
}

const CellOwnership::Owner* CellOwnership::liveOwner(const CellId& cell) const
{
    const auto owner = m_owners.find(cell);
    if (owner == m_owners.end() || owner->second.releasedAt)
        return nullptr;
    const Common::MonotonicTime now = m_ports.runtime.now();
    const auto isWithinTimeout = [&](const std::optional<Common::MonotonicTime>& since) {
        return since && now - *since < m_settings.hostTimeout;
    };
    const bool announced = !owner->second.unannouncedSince || isWithinTimeout(owner->second.unannouncedSince);
    const bool alive
        = (announced && m_directory.isAlive(owner->second.id, now)) || isWithinTimeout(owner->second.confirmedAt);
    return alive && !m_directory.isReplaced(owner->second.id) ? &owner->second : nullptr;
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

bool CellOwnership::hearsNobody() const
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    return !m_directory.hearsAnyone(now) && (!m_directory.rows().empty() || !m_directory.unknownAddresses(now).empty());
}

void CellOwnership::rankOwners()
{
    const std::vector<CellId> cells = m_layout.cells();
    const RankInputs inputs { m_directory.changes(), cells.size(), m_storeAvailable, isLate(), hearsNobody(),
        !m_engines.empty() || !m_claims.empty() };
    // While hosts are being discovered, each would change the ranks of all cells, which nothing needs yet.
    if (inputs == m_rankInputs || (m_rankInputs && knowsFewHosts() && !inputs.owns))
        return;
    m_rankInputs = inputs;
    std::vector<const HostState*> live = m_directory.liveHosts(m_ports.runtime.now());
    std::erase_if(live, [](const HostState* host) { return host->draining; });
    // Ranked by address, not by id: the id contains the boot, and a restarted host is to get the same cells again.
    std::vector<Policy::OwnerCandidate> candidates { { m_settings.address, m_settings.weight, false, false,
        m_storeAvailable, isLate() } };
    for (const HostState* const host : live)
        candidates.push_back({ host->address, host->weight, false, false, host->storeAvailable, host->late });
    const std::vector<bool> may = Policy::mayOwnCells(candidates, cells.size());
    m_mayOwnCells = may.front();
    m_cellHosts.clear();
    std::vector<const HostState*> others;
    for (size_t index = 0; index < live.size(); ++index) {
        if (!may[index + 1])
            continue;
        m_cellHosts.insert(live[index]->id);
        others.push_back(live[index]);
    }
    m_ranks.clear();
    if (!m_mayOwnCells && !inputs.owns)
        return;
    std::vector<Policy::CellCandidates> rows;
    for (const CellId& cell : cells) {
        const Common::DomainId domain = m_layout.domainOf(cell);
        const Common::RegionId regionOfCell = regionOf(domain);
        Policy::CellCandidates row { cell.value(), {} };
        row.hosts.push_back({ m_settings.address, m_settings.weight, m_settings.domain == domain,
            m_settings.region == regionOfCell, m_storeAvailable, isLate() });
        for (const HostState* const host : others)
            row.hosts.push_back({ host->address, host->weight, host->domain == domain, host->region == regionOfCell,
                host->storeAvailable, host->late });
        rows.push_back(std::move(row));
    }
    const std::vector<std::vector<size_t>> orders = Policy::rankCellOwners(std::move(rows));
    for (size_t index = 0; index < cells.size(); ++index) {
        std::vector<Common::DaemonId>& ranked = m_ranks[cells[index]];
        for (const size_t host : orders[index])
            ranked.push_back(host == 0 ? m_settings.id : others[host - 1]->id);
    }
}

/// Whether this host ranks first for the cell.
bool CellOwnership::isPreferred(const CellId& cell) const
{
    const auto ranked = m_ranks.find(cell);
    return ranked != m_ranks.end() && ranked->second.front() == m_settings.id;
}

/// Watches the owners that this host would replace, so that it needn't wait for others to report their silence.
void CellOwnership::watchOwners()
{
    std::set<Common::DaemonId> watched;
    for (const auto& [cell, ranked] : m_ranks) {
        const auto owner = m_owners.find(cell);
        if (owner == m_owners.end() || m_engines.contains(cell))
            continue;
        size_t successors = 0;
        for (auto host = ranked.begin(); host != ranked.end() && successors < watchingSuccessors; ++host) {
            if (*host == owner->second.id)
                continue;
            ++successors;
            if (*host == m_settings.id)
                watched.insert(owner->second.id);
        }
    }
    m_gossip.watchAlso(watched);
}

/// Only former owners themselves can say that they hold a cell no more.
void CellOwnership::askFormerOwners()
{
    std::set<std::string> addresses;
    for (const auto& [cell, record] : m_formerOwners)
        addresses.insert(heartbeatAddressAt(record.address));
    m_gossip.askEachRound(std::move(addresses));
}

/// All hosts receive heartbeats at the same port.
std::string CellOwnership::heartbeatAddressAt(const std::string& address) const
{
    return address.substr(0, address.rfind(':'))
        + m_settings.heartbeatAddress.substr(m_settings.heartbeatAddress.rfind(':'));
}

/// Whether this process has just started and hosts are still being discovered.
bool CellOwnership::knowsFewHosts() const
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    return now - m_discoveredAt < discoveryPause && now - m_startedAt < longestDiscovery;
}

bool CellOwnership::isOwnerless(const CellId& cell) const { return liveOwner(cell) == nullptr; }

void CellOwnership::considerClaim(const CellId& cell)
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    const bool hasCurrentView = now - m_startedAt >= m_settings.startupGrace && !knowsFewHosts()
        && (!m_resumedAt || now - *m_resumedAt >= m_settings.hostTimeout);
    if (!isOwnerless(cell))
        m_lateProbes.erase(cell);
    if (!isOwnerless(cell) || !hasCurrentView) {
        if (m_ownerlessSince.erase(cell) > 0 && !isOwnerless(cell))
            LC_INFO(Jobs, "event=cell-has-owner cell=" << cell.value() << " " << describeOwner(cell));
        return;
    }
    const auto [since, isNew] = m_ownerlessSince.try_emplace(cell, now);
    if (isNew)
        LC_INFO(Jobs, "event=cell-ownerless cell=" << cell.value() << " " << describeOwner(cell));
    if (now - since->second >= claimDelay(cell))
        claim(cell);
}

std::string CellOwnership::describeOwner(const CellId& cell) const
{
    const auto found = m_owners.find(cell);
    if (found == m_owners.end())
        return "owner=unknown";
    const Owner& owner = found->second;
    const Common::MonotonicTime now = m_ports.runtime.now();
    std::string text = "owner=" + owner.id.value() + " token=" + std::to_string(owner.token.value)
        + " alive=" + (m_directory.isAlive(owner.id, now) ? "1" : "0") + " released=" + (owner.releasedAt ? "1" : "0")
        + " replaced=" + (m_directory.isReplaced(owner.id) ? "1" : "0");
    if (owner.unannouncedSince)
        text += " unannounced-ms=" + std::to_string((now - *owner.unannouncedSince) / std::chrono::milliseconds(1));
    return text;
}

/// How long this host leaves the ownerless cell to hosts that should rather own it.
Common::Duration CellOwnership::claimDelay(const CellId& cell) const
{
    const Common::MonotonicTime now = m_ports.runtime.now();
    size_t rank = std::min(m_cellHosts.size(), maximumClaimRank)
        + Common::rendezvousWeight(cell.value(), m_settings.address) % maximumClaimRank;
    if (const auto ranked = m_ranks.find(cell); m_mayOwnCells && ranked != m_ranks.end()) {
        const auto at = std::find(ranked->second.begin(), ranked->second.end(), m_settings.id);
        rank = static_cast<size_t>(at - ranked->second.begin());
    }
    const std::vector<const HostState*> live = m_directory.liveHosts(now);
    const bool othersInTime
        = std::any_of(live.begin(), live.end(), [](const HostState* host) { return !host->late && !host->draining; });
    // A host that hears nobody ranks itself first.
    const bool unfit = (isLate() && othersInTime) || hearsNobody();
    return static_cast<int64_t>(rank) * m_settings.claimStagger + (unfit ? unfitClaimDelay : Common::Duration::zero());
}

/// Asks a late owner to release a cell for which this host is preferred. An owner that hears no heartbeats doesn't know
/// of a better one.
void CellOwnership::considerRelief(const CellId& cell)
{
    const bool isOwn = m_engines.contains(cell) || m_claims.contains(cell);
    const Owner* const owner = isOwn ? nullptr : liveOwner(cell);
    const HostState* const host = owner ? m_directory.find(owner->id) : nullptr;
    if (!host || !host->late || isLate() || !isPreferred(cell)) {
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
    // A successor would have to wait again for workers that haven't answered yet or don't any more; a late owner may
    // never hear them.
    const auto successorWaits = [](const CellEngine& engine) {
        return !engine.hasContactedInheritedWorkers() || engine.hasSilentWorkersWithRuns();
    };
    if (m_releasing.contains(cell) || (!isLate() && successorWaits(*m_engines.at(cell))))
        return;
    const Common::MonotonicTime now = m_ports.runtime.now();
    const auto ranked = m_ranks.find(cell);
    if (ranked == m_ranks.end() || isPreferred(cell)) {
        m_betterOwnerSince.erase(cell);
        return;
    }
    const Common::DaemonId& first = ranked->second.front();
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
        announce();
        informSuccessor(cell);
        done();
    }));
}

/// Spares the preferred host the wait until the news has spread.
void CellOwnership::informSuccessor(const CellId& cell)
{
    const auto ranked = m_ranks.find(cell);
    if (ranked == m_ranks.end())
        return;
    for (const Common::DaemonId& host : ranked->second) {
        const HostState* const successor = host == m_settings.id ? nullptr : m_directory.find(host);
        if (!successor)
            continue;
        m_gossip.sendCells(*successor, {});
        return;
    }
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
    // From now on no message may say that this host can't grant leases.
    m_gossip.publish(ownState());
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
        writeClaim(cell, recordOfClaim(CellRecord {}, true), {}, true);
        return;
    }
    const auto record = CellRecord::decode(found->value);
    if (!record) {
        LC_ERROR(Store, "event=unreadable-record key=" << found->key << " reason=" << record.reason().detail);
        endClaim(cell, "the cell record can't be read");
        return;
    }
    if (record->owner == m_settings.id && !record->released) {
        // An earlier claim whose answer was lost, or a release that wasn't written. Either may still be written, and
        // other hosts may have been told of the release: only a new token tells the ownerships apart.
        writeClaim(cell, recordOfClaim(*record, false), found->revision, false);
        return;
    }
    if (record->token > m_owners[cell].token && !record->released
        && m_directory.isAlive(record->owner, m_ports.runtime.now())) {
        confirmOwner(cell, *record, m_ports.runtime.now());
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

/// The cell's record, or the owner itself, names the owner in answer to a call of `askedAt`.
void CellOwnership::confirmOwner(const CellId& cell, const CellRecord& record, Common::MonotonicTime askedAt)
{
    Owner& owner = m_owners[cell];
    // A newer owner has announced itself during the call.
    if (record.token < owner.token)
        return;
    if (owner.id != record.owner || owner.token != record.token) {
        owner.id = record.owner;
        owner.address = record.address;
        owner.token = record.token;
        owner.loadVersion = 0;
        if (!isAnnounced(cell, owner))
            owner.unannouncedSince = m_ports.runtime.now();
        else
            owner.unannouncedSince.reset();
        owner.releasedAt.reset();
    }
    // A state that was received during the call may be newer than the answer.
    if (owner.releasedAt && *owner.releasedAt < askedAt)
        owner.releasedAt.reset();
    owner.confirmedAt = m_ports.runtime.now();
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
        confirmOwner(cell, record, askedAt);
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
    // The recorded owner can tell about itself only.
    const bool allOwnersStopped = formerOwnerStopped && !record.unsettled;
    if (record.unsettled)
        m_formerOwners.erase(cell);
    else
        m_formerOwners[cell] = record;
    writeClaim(cell, recordOfClaim(record, allOwnersStopped), revision, allOwnersStopped);
}

/// The record by which this host replaces the owners of `former`, which may still grant leases unless they stopped.
CellRecord CellOwnership::recordOfClaim(const CellRecord& former, bool allOwnersStopped) const
{
    CellRecord record;
    record.owner = m_settings.id;
    record.address = m_settings.address;
    record.token = TokenRange::lastAfter(former.token);
    record.unsettled = !allOwnersStopped;
    record.leaseHorizon = m_cellSettings.authority;
    if (record.unsettled)
        record.leaseHorizon = std::max(record.leaseHorizon, former.leaseHorizon);
    return record;
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
    m_directory.learnAddress(heartbeatAddressAt(record.address), now);
    return now - unconfirmed.since < m_settings.hostTimeout;
}

/// Whether the process that the record names is certain to send no more orders.
bool CellOwnership::isProvablyStopped(const CellRecord& record) const
{
    if (record.released || record.address == m_settings.address || m_directory.isReplaced(record.owner))
        return true;
    // A different process answers at its address. What others say of one may be older than the record.
    const HostDirectory::Row* const host = m_directory.rowAt(record.address);
    return host && host->state.id != record.owner && m_directory.isHeard(*host, m_ports.runtime.now());
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
    const Common::MonotonicTime claimedAt = m_ports.runtime.now();
    m_ports.store.list(StoreKeys::jobs(cell), Freshness::Linearizable,
        m_lifetime.guard([this, cell, record, fence, formerOwnerStopped, claimedAt](
                             const Common::Result<RecordListing>& jobs) {
            if (!jobs || jobs->unreadable > 0) {
                endClaim(cell, "the job records can't be read");
                return;
            }
            CellEngine::RecoveredCell recoveredCell { record, fence, {}, {}, formerOwnerStopped, {}, {}, claimedAt,
                {} };
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
    const bool unsettled = recoveredCell.record.unsettled;
    const Common::Duration leaseHorizon = recoveredCell.record.leaseHorizon;
    auto engine = std::make_unique<CellEngine>(m_ports.runtime, m_ports.store, m_ports.orders, cell, m_cellSettings,
        std::move(recoveredCell), peerCells(), m_lifetime.guard([this, cell] {
            removeEngine(cell);
            findAnnouncedOwner(cell);
        }));
    engine->onOutdatedEntry([this](const Common::WorkerId& worker) { readEntry(worker); });
    LC_INFO(Jobs,
        "event=cell-owned cell=" << cell.value() << " token=" << token.value << " jobs=" << jobs << " unsettled="
                                 << unsettled << " lease-horizon-ms=" << leaseHorizon / std::chrono::milliseconds(1));
    for (const auto& [other, pressureEstimates] : m_pressureEstimates) {
        if (other != cell)
            engine->adopt(other, pressureEstimates);
    }
    m_engines[cell] = std::move(engine);
    m_owners.erase(cell);
    announce();
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
        .oldestLoad = [this](const CellId& self) { return oldestLoad(self); },
        .askForRoom
        = [this](const CellId& cell, const RoomQuestion& question,
              const Common::Callback<Policy::RoomOffer>& callback) { askForRoom(cell, question, callback); },
        .wantedRoom = [this](const CellId& self, const Common::Resources& room) { return wantedRoom(self, room); },
        .offerRoom = [this](const CellId& cell, const PromisedRoom& room,
                         const Common::Callback<TakenRoom>& callback) { offerRoom(cell, room, callback); },
        .takesScheduledTasks =
            [this](const CellId& cell) {
                const Owner* const other = m_engines.contains(cell) ? nullptr : liveOwner(cell);
                return m_engines.contains(cell) || (other && other->load.takesScheduledTasks);
            },
        .serviceRooms = [this](const CellId& self) { return serviceRooms(self); },
        .sendTransfer = [this](const TaskTransfer& transfer) { m_partOutbox.add(transfer.to, transfer, nullptr); },
        .requestTransferCheck
        = [this](const CellId& cell, const Common::JobId& job) { requestTransferCheck(cell, job); },
        .cancel = [this](const CellId& cell, const Jobs::JobRecord& part,
                      const std::function<void()>& handled) { m_partOutbox.add(cell, part, handled); },
        .pollThroughHost =
            [this](const CellId& cell, const PollForHost& poll, const std::string& address,
                Common::Callback<RunReport> callback) {
                return pollThroughHost(cell, poll, address, std::move(callback));
            },
    };
}

/// Asks the host at the address, or else a random one, mostly of the cell's domain: the worker is nearest to these.
std::string CellOwnership::pollThroughHost(
    const CellId& cell, const PollForHost& poll, const std::string& address, Common::Callback<RunReport> callback)
{
    std::vector<const HostState*> hosts = m_directory.liveHosts(m_ports.runtime.now());
    std::erase_if(hosts, [](const HostState* host) { return host->draining; });
    if (hosts.empty() || !m_pollMessenger)
        return {};
    const auto preferred = std::find_if(
        hosts.begin(), hosts.end(), [&address](const HostState* host) { return host->address == address; });
    std::string chosen;
    if (preferred != hosts.end()) {
        chosen = address;
    } else {
        const Common::DomainId domain = m_layout.domainOf(cell);
        const auto isElsewhere = [&domain](const HostState* host) { return host->domain != domain; };
        const bool near = m_ports.runtime.random()() % hostChoices < hostChoicesInDomain;
        if (near && !std::all_of(hosts.begin(), hosts.end(), isElsewhere))
            std::erase_if(hosts, isElsewhere);
        chosen = hosts[m_ports.runtime.random()() % hosts.size()]->address;
    }
    m_pollMessenger(chosen, poll, std::move(callback));
    return chosen;
}

void CellOwnership::pollForHost(const PollForHost& poll, Common::Callback<RunReport> callback)
{
    WorkerOrders::PollRequest request;
    request.token = poll.token;
    request.leaseUntil = poll.leaseUntil;
    m_ports.orders.pollRuns(poll.worker, request, std::move(callback));
}

void CellOwnership::askForRoom(
    const CellId& cell, const RoomQuestion& question, const Common::Callback<Policy::RoomOffer>& callback)
{
    const Owner* const owner = engine(cell) ? nullptr : liveOwner(cell);
    if (owner && m_roomMessenger) {
        m_roomMessenger(owner->address, cell, question, callback);
        return;
    }
    // Answered later, as by another host: the caller is in the middle of a placement.
    m_ports.runtime.schedule(Common::Duration::zero(), m_lifetime.guard([this, cell, question, callback] {
        if (CellEngine* const own = engine(cell))
            callback(own->offerRoom(question));
        else
            callback(Common::Failure { Common::ErrorCode::NotOwner, "no owner of the cell is known", std::nullopt });
    }));
}

void CellOwnership::requestTransferCheck(const CellId& cell, const Common::JobId& job)
{
    m_transferChecks.emplace_back(cell, job);
    checkTransfers();
}

void CellOwnership::checkTransfers()
{
    while (!m_transferChecks.empty() && m_transferChecksUnderWay < maximumTransferChecks) {
        const auto [cell, job] = m_transferChecks.front();
        m_transferChecks.pop_front();
        ++m_transferChecksUnderWay;
        m_ports.store.list(StoreKeys::job(cell, job) + StoreKeys::transferMarker, Freshness::Linearizable,
            m_lifetime.guard([this, cell = cell, job = job](
                                 const Common::Result<RecordListing>& found) { onTransfersRead(cell, job, found); }));
    }
}

void CellOwnership::onTransfersRead(
    const CellId& cell, const Common::JobId& job, const Common::Result<RecordListing>& found)
{
    if (!found) {
        LC_WARN(Store,
            "event=transfers-unread cell=" << cell.value() << " job=" << job.value()
                                           << " reason=" << Common::errorName(found.reason().code));
        m_transferChecks.emplace_back(cell, job);
        m_ports.runtime.schedule(storeRetryPause, m_lifetime.guard([this] {
            --m_transferChecksUnderWay;
            checkTransfers();
        }));
        return;
    }
    --m_transferChecksUnderWay;
    for (const Scheduler::StoreValue& value : found->records) {
        if (const auto transfer = readTransfer(value))
            m_partOutbox.add(cell, *transfer, nullptr);
    }
    checkTransfers();
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

Common::Duration CellOwnership::oldestLoad(const CellId& self) const
{
    Common::Duration oldest {};
    for (const CellId& cell : m_layout.cells()) {
        const Owner* const other = cell == self || m_engines.contains(cell) ? nullptr : liveOwner(cell);
        if (other && other->loadVersion > 0)
            oldest = std::max(oldest, m_ports.runtime.now() - other->loadReceivedAt);
    }
    return oldest;
}

std::vector<WantedRoom> CellOwnership::wantedRoom(const CellId& self, const Common::Resources& room) const
{
    std::vector<WantedRoom> found;
    for (const CellId& cell : m_layout.cells()) {
        const auto own = m_engines.find(cell);
        const Owner* const other = own == m_engines.end() ? liveOwner(cell) : nullptr;
        if (cell == self || (own == m_engines.end() && !other))
            continue;
        const std::vector<WantedRoom> ofOwn
            = other ? std::vector<WantedRoom> {} : own->second->wantedRoom(mostWantedSent);
        for (const WantedRoom& want : other ? other->load.wantedRoom : ofOwn) {
            if (!Common::fits(allocationFor(want.question.spec).held, room))
                continue;
            found.push_back(want);
            found.back().cell = cell;
        }
    }
    return found;
}

void CellOwnership::offerRoom(const CellId& cell, const PromisedRoom& room, const Common::Callback<TakenRoom>& callback)
{
    const Owner* const owner = engine(cell) ? nullptr : liveOwner(cell);
    if (owner && m_promiseMessenger) {
        m_promiseMessenger(owner->address, cell, room, callback);
        return;
    }
    // Answered later, as by another host: the caller is in the middle of a placement.
    m_ports.runtime.schedule(Common::Duration::zero(), m_lifetime.guard([this, cell, room, callback] {
        if (CellEngine* const own = engine(cell))
            callback(own->takeRoom(room));
        else
            callback(Common::Failure { Common::ErrorCode::NotOwner, "no owner of the cell is known", std::nullopt });
    }));
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

/// See PartOutbox::Ports::ownerAddress.
std::optional<std::string> CellOwnership::addressForParts(const CellId& cell)
{
    if (engine(cell))
        return std::string();
    const Owner* const owner = liveOwner(cell);
    return owner && m_messenger ? std::optional(owner->address) : std::nullopt;
}

void CellOwnership::sendPartMessage(const std::string& address, const CellId& cell, const PartMessage& message,
    Common::Duration timeout, const Common::Callback<Common::Done>& callback)
{
    if (address.empty())
        engine(cell)->handlePartMessage(message, callback);
    else
        m_messenger(address, cell, message, timeout, callback);
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

/// The watch of the list tells of changes only after a pause, and of none while its connection is silent.
void CellOwnership::readEntry(const Common::WorkerId& id)
{
    m_ports.workers.read(id, m_lifetime.guard([this, id](const Common::Result<std::optional<WorkerEntry>>& entry) {
        const auto known = m_listedWorkers.find(id);
        // The watch may have told of later changes meanwhile.
        if (!entry || !*entry || known == m_listedWorkers.end()
            || (*entry)->startedAtMilliseconds <= known->second.startedAtMilliseconds)
            return;
        known->second = **entry;
        listWorker(**entry);
    }));
}

void CellOwnership::listWorker(const WorkerEntry& entry)
{
    const CellId cell = m_layout.cellOf(entry);
    for (const auto& [other, engine] : m_engines) {
        if (other != cell)
            engine->disownWorker(entry.id);
    }
    if (CellEngine* const owner = engine(cell))
        owner->listWorker(entry);
}

void CellOwnership::drain(const std::function<void()>& done)
{
    m_draining = true;
    announce();
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
