// Assigns workers to daemons, schedules syncs with the workers, and handles their reports.
#include "Membership/FleetService.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/SyncRequest.h"
#include "Scheduler/WorkerPort.h"

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

    /// A claim that was not renewed for this share of a sync interval counts as abandoned.
    constexpr int64_t renewedWithinPerMille = 1500;

    std::chrono::milliseconds toMilliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    /// First and second choice for the owner of a worker; ids are empty where there are too few candidates.
    struct Assignment {
        Common::DaemonId first;
        Common::DaemonId second;
    };

    Assignment assign(const Common::WorkerId& worker, const std::vector<Common::DaemonId>& candidates)
    {
        Assignment best;
        uint64_t firstWeight = 0;
        uint64_t secondWeight = 0;
        for (const Common::DaemonId& candidate : candidates) {
            const uint64_t weight = Common::rendezvousWeight(worker.value(), candidate.value());
            if (best.first.empty() || weight > firstWeight) {
                best.second = std::exchange(best.first, candidate);
                secondWeight = std::exchange(firstWeight, weight);
            } else if (best.second.empty() || weight > secondWeight) {
                best.second = candidate;
                secondWeight = weight;
            }
        }
        return best;
    }

} // namespace

FleetService::Entry::Entry(
    Scheduler::HostEntry hostEntry, const Common::DaemonId& self, const OwnershipSettings& settings)
    : host(std::move(hostEntry))
    , ownership(self, settings)
{
}

FleetService::FleetService(const Scheduler::ServiceContext& context, Scheduler::WorkerPort& workers,
    Scheduler::StorePort& store, Scheduler::PeerPort& peers, Scheduler::MembershipView& membership,
    const FleetSettings& settings)
    : m_context(context)
    , m_workers(workers)
    , m_membership(membership)
    , m_settings(settings)
    , m_hosts(context, store, peers, membership, settings)
    , m_syncs(context.metrics.counter("lavendercart_syncs_total", "Syncs sent to workers"))
    , m_syncFailures(context.metrics.counter("lavendercart_sync_failures_total", "Syncs without a report"))
    , m_claims(context.metrics.counter("lavendercart_claims_total", "Claims made on workers"))
    , m_takeovers(context.metrics.counter("lavendercart_takeovers_total", "Claims made over another daemon's"))
    , m_ownedGauge(context.metrics.gauge("lavendercart_owned_workers", "Workers that this daemon owns"))
    , m_lifetime(std::make_shared<int>())
{
}

FleetService::~FleetService()
{
    for (const auto& [worker, entry] : m_entries) {
        if (entry->timer)
            m_context.runtime.cancel(*entry->timer);
    }
    if (m_drainTimer)
        m_context.runtime.cancel(*m_drainTimer);
}

void FleetService::start()
{
    m_membership.onChange([this, lifetime = std::weak_ptr<int>(m_lifetime)] {
        if (lifetime.lock())
            reassign();
    });
    m_hosts.start([this](const std::vector<Scheduler::HostEntry>& hosts) { updateHosts(hosts); });
}

void FleetService::drain(std::function<void()> done)
{
    m_draining = true;
    m_drained = std::move(done);
    m_drainTimer = m_context.runtime.schedule(m_settings.syncTimeout * 2, [this] {
        m_drainTimer.reset();
        if (const auto drained = std::exchange(m_drained, nullptr))
            drained();
    });
    reassign();
    for (const auto& [worker, entry] : m_entries)
        requestSync(worker);
    finishDrainIfDone();
}

std::vector<FleetService::WorkerSummary> FleetService::summaries() const
{
    std::vector<WorkerSummary> all;
    all.reserve(m_entries.size());
    for (const auto& [worker, entry] : m_entries) {
        const bool isOwned = m_owned.contains(worker);
        all.push_back(WorkerSummary { entry->host, entry->ownership.state(), entry->assigned, isLeaving(*entry),
            !isUnreachable(*entry), isOwned ? entry->report : Scheduler::WorkerReport {} });
    }
    std::sort(all.begin(), all.end(),
        [](const WorkerSummary& left, const WorkerSummary& right) { return left.host.worker < right.host.worker; });
    return all;
}

std::optional<Scheduler::OwnedWorker> FleetService::ownedWorker(const Common::WorkerId& worker) const
{
    const Entry* entry = find(worker);
    if (!entry || !entry->ownership.hasAuthority(m_context.runtime.now()))
        return std::nullopt;
    return toOwnedWorker(*entry);
}

std::vector<Common::WorkerId> FleetService::owned() const { return { m_owned.begin(), m_owned.end() }; }

std::optional<std::string> FleetService::addressOf(const Common::WorkerId& worker) const
{
    const Entry* entry = find(worker);
    return entry ? std::optional(entry->host.address) : std::nullopt;
}

std::optional<Common::DaemonId> FleetService::assignedOwner(const Common::WorkerId& worker) const
{
    const Entry* entry = find(worker);
    return entry && !entry->assigned.empty() ? std::optional(entry->assigned) : std::nullopt;
}

void FleetService::acknowledge(const Common::WorkerId& worker, const std::vector<Common::TaskId>& tasks)
{
    Entry* entry = find(worker);
    if (!entry || entry->ownership.state() != WorkerOwnership::State::Owned)
        return;
    // The worker refuses every start sent so far from this reading of its clock on.
    for (const Common::TaskId& task : tasks)
        entry->toAcknowledge.try_emplace(task, entry->ownership.startBy());
}

void FleetService::requestSync(const Common::WorkerId& worker)
{
    Entry* entry = find(worker);
    if (!entry || !needsSync(*entry) || entry->syncing || entry->queued)
        return;
    const Common::Duration sinceLast = m_context.runtime.now() - entry->lastSent;
    scheduleSync(*entry, std::max(Common::Duration::zero(), m_settings.minimumSyncGap - sinceLast));
}

void FleetService::onChange(Listener listener) { m_listeners.push_back(std::move(listener)); }

void FleetService::updateHosts(const std::vector<Scheduler::HostEntry>& hosts)
{
    for (const auto& [worker, entry] : m_entries)
        entry->listed = false;
    for (const Scheduler::HostEntry& host : hosts) {
        const auto [position, isNew] = m_entries.try_emplace(host.worker);
        if (isNew)
            position->second = std::make_unique<Entry>(host, m_membership.self().id, m_settings.ownership);
        position->second->host = host;
        position->second->listed = true;
    }
    reassign();
}

void FleetService::reassign()
{
    std::vector<Common::DaemonId> candidates;
    for (const Scheduler::PeerInfo& peer : m_membership.livePeers()) {
        if (peer.domain == m_membership.self().domain && !peer.draining)
            candidates.push_back(peer.id);
    }
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        Entry& entry = *position->second;
        const Assignment assignment = entry.listed ? assign(position->first, candidates) : Assignment {};
        const bool wasHere = isAssignedHere(entry);
        entry.assigned = assignment.first;
        entry.standby = assignment.second;
        applyAssignment(entry, !wasHere && isAssignedHere(entry));
        const bool isGone = !entry.listed && !needsSync(entry) && !entry.syncing;
        if (isGone && entry.timer)
            m_context.runtime.cancel(*entry.timer);
        position = isGone ? m_entries.erase(position) : std::next(position);
    }
}

void FleetService::applyAssignment(Entry& entry, bool isNewHere)
{
    applyWanted(entry);
    if (!needsSync(entry) || entry.syncing || entry.queued)
        return;
    const bool isStandby = !isAssignedHere(entry) && entry.ownership.state() == WorkerOwnership::State::Unclaimed;
    const bool isUrgent = isNewHere || entry.ownership.needsSyncNow();
    if (entry.timer && (isStandby || !isUrgent))
        return;
    // Spread the syncs, since a daemon's failure or return moves many workers at once.
    const Common::Duration spreadOver = isStandby ? m_settings.standbyInterval : m_settings.firstSyncSpread;
    const auto spread = static_cast<uint64_t>(spreadOver.count());
    scheduleSync(entry, Common::Duration(m_context.runtime.random()() % (spread + 1)));
}

void FleetService::applyWanted(Entry& entry)
{
    if (entry.ownership.setWanted(shouldWant(entry)))
        announceLost(entry);
}

bool FleetService::shouldWant(const Entry& entry) const
{
    if (m_draining)
        return false;
    if (entry.ownership.state() == WorkerOwnership::State::Displaced)
        return true;
    // An owner keeps a worker until the assigned daemon has claimed it. So the worker isn't left idle if that daemon
    // can't reach it, and the successor's wait overlaps with the last starts of this daemon.
    if (entry.ownership.isClaimEffective())
        return !isUnreachable(entry) || isAssignedHere(entry);
    if (!isAssignedHere(entry))
        return isStandbyNeeded(entry);
    const std::optional<Scheduler::WorkerClaim>& foreign = entry.ownership.foreignClaim();
    if (!foreign || !entry.foreignClaimRenewed)
        return true;
    // The renewed claim shows that its daemon is alive. If this daemon gets no heartbeats from it, the two disagree on
    // the assignment and would take the worker from each other forever.
    return m_membership.find(foreign->daemon).has_value();
}

bool FleetService::isAssignedHere(const Entry& entry) const { return entry.assigned == m_membership.self().id; }

bool FleetService::isStandbyNeeded(const Entry& entry) const
{
    return entry.standby == m_membership.self().id && entry.unclaimedReports >= m_settings.standbyChecks;
}

bool FleetService::needsSync(const Entry& entry) const
{
    if (entry.ownership.state() != WorkerOwnership::State::Unclaimed)
        return true;
    return !m_draining && (isAssignedHere(entry) || entry.standby == m_membership.self().id);
}

bool FleetService::isLeaving(const Entry& entry) const
{
    return !entry.listed || entry.host.state == Scheduler::HostState::Leaving || entry.report.leaving;
}

bool FleetService::isUnreachable(const Entry& entry) const { return entry.misses >= m_settings.unreachableAfterMisses; }

void FleetService::scheduleSync(Entry& entry, Common::Duration delay)
{
    if (entry.timer)
        m_context.runtime.cancel(*entry.timer);
    entry.timer = m_context.runtime.schedule(delay, [this, worker = entry.host.worker] { enqueueSync(worker); });
}

void FleetService::scheduleNextSync(Entry& entry)
{
    if (entry.ownership.needsSyncNow() && entry.misses == 0) {
        requestSync(entry.host.worker);
        return;
    }
    const Common::Duration sinceSent = m_context.runtime.now() - entry.lastSent;
    const Common::Duration delay = std::max(Common::Duration::zero(), jitteredInterval(entry) - sinceSent);
    const std::optional<std::chrono::milliseconds> remainingWait = entry.ownership.remainingWait();
    if (!remainingWait) {
        scheduleSync(entry, delay);
        return;
    }
    // Send the sync that ends the wait as soon as even a slow clock of the worker has reached the end.
    const std::chrono::milliseconds margin = *remainingWait * m_settings.ownership.clockRateMarginPerMille / 1000;
    scheduleSync(entry, std::min<Common::Duration>(delay, *remainingWait + margin + std::chrono::milliseconds(1)));
}

Common::Duration FleetService::baseInterval(const Entry& entry) const
{
    if (entry.ownership.state() == WorkerOwnership::State::Unclaimed && !isAssignedHere(entry))
        return m_settings.standbyInterval;
    return isUnreachable(entry) ? m_settings.unreachableSyncInterval : m_settings.syncInterval;
}

Common::Duration FleetService::jitteredInterval(const Entry& entry) const
{
    const Common::Duration interval = baseInterval(entry);
    const Common::Duration jitter = interval * m_settings.syncJitterPerMille / 1000;
    const auto width = static_cast<uint64_t>(2 * jitter.count() + 1);
    return interval - jitter + Common::Duration(m_context.runtime.random()() % width);
}

void FleetService::enqueueSync(const Common::WorkerId& worker)
{
    Entry* entry = find(worker);
    if (!entry)
        return;
    entry->timer.reset();
    if (entry->syncing || entry->queued)
        return;
    entry->queued = true;
    m_syncQueue.push_back(worker);
    sendQueued();
}

void FleetService::sendQueued()
{
    while (!m_syncQueue.empty() && m_syncsInFlight < m_settings.maximumConcurrentSyncs) {
        const Common::WorkerId worker = m_syncQueue.front();
        m_syncQueue.pop_front();
        Entry* entry = find(worker);
        if (!entry)
            continue;
        entry->queued = false;
        if (needsSync(*entry))
            sendSync(*entry);
    }
}

void FleetService::sendSync(Entry& entry)
{
    entry.syncing = true;
    ++m_syncsInFlight;
    m_syncs.Increment();
    entry.lastSent = m_context.runtime.now();
    const WorkerOwnership::Ticket ticket = entry.ownership.beginSync(entry.lastSent);
    const Scheduler::SyncRequest request = makeRequest(entry, ticket);
    m_workers.sync(entry.host.address, request, m_settings.syncTimeout,
        [this, worker = entry.host.worker, ticket, request, lifetime = std::weak_ptr<int>(m_lifetime)](
            const Common::Result<Scheduler::WorkerReport>& report) {
            if (lifetime.lock())
                finishSync(worker, ticket, request, report);
        });
}

Scheduler::SyncRequest FleetService::makeRequest(const Entry& entry, const WorkerOwnership::Ticket& ticket) const
{
    Scheduler::SyncRequest request;
    request.daemon = m_membership.self().id;
    request.address = m_membership.self().address;
    request.claimTerm = ticket.claim;
    request.claimTimeToLive = m_settings.ownership.claimTimeToLive;
    request.withdrawClaim = ticket.withdraw;
    request.taskLeaseTimeToLive = m_settings.taskLease;
    for (const auto& [task, notBefore] : entry.toAcknowledge) {
        if (entry.ownership.lastClock() >= notBefore)
            request.tasksToAcknowledge.push_back(task);
    }
    if (!entry.ownership.isClaimEffective())
        return request;
    for (const Scheduler::TaskReport& task : entry.report.tasks) {
        if (task.state == Scheduler::TaskState::Running)
            request.tasksToRenew.push_back(task.task);
    }
    return request;
}

void FleetService::finishSync(const Common::WorkerId& worker, const WorkerOwnership::Ticket& ticket,
    const Scheduler::SyncRequest& request, const Common::Result<Scheduler::WorkerReport>& report)
{
    --m_syncsInFlight;
    Entry* entry = find(worker);
    if (!entry) {
        sendQueued();
        return;
    }
    entry->syncing = false;
    if (report && report->worker == worker) {
        for (const Common::TaskId& task : request.tasksToAcknowledge)
            entry->toAcknowledge.erase(task);
        entry->misses = 0;
        handleReport(*entry, ticket, *report);
    } else {
        m_syncFailures.Increment();
        handleMiss(*entry);
    }
    if (needsSync(*entry))
        scheduleNextSync(*entry);
    finishDrainIfDone();
    sendQueued();
}

void FleetService::handleReport(
    Entry& entry, const WorkerOwnership::Ticket& ticket, const Scheduler::WorkerReport& report)
{
    const bool wasClaimEffective = entry.ownership.isClaimEffective();
    const bool hadForeignClaim = entry.ownership.foreignClaim().has_value();
    const WorkerOwnership::Outcome outcome = entry.ownership.handleReport(ticket, report);
    if (outcome == WorkerOwnership::Outcome::Ignored)
        return;
    entry.report = report;
    entry.unclaimedReports = report.claims.empty() ? entry.unclaimedReports + 1 : 0;
    if (!wasClaimEffective && entry.ownership.isClaimEffective())
        recordClaim(entry, hadForeignClaim);
    updateForeignClaimRenewed(entry);
    recordLeaving(entry);
    switch (outcome) {
    case WorkerOwnership::Outcome::Owned:
        announceOwned(entry);
        break;
    case WorkerOwnership::Outcome::Renewed:
        announce(Change::Reported, entry);
        break;
    case WorkerOwnership::Outcome::Lost:
        announceLost(entry);
        break;
    case WorkerOwnership::Outcome::Ignored:
    case WorkerOwnership::Outcome::Noted:
        break;
    }
    applyWanted(entry);
}

void FleetService::handleMiss(Entry& entry)
{
    ++entry.misses;
    entry.unclaimedReports = 0;
    if (entry.ownership.expire(m_context.runtime.now()))
        announceLost(entry);
    if (isUnreachable(entry))
        entry.ownership.abandon();
    applyWanted(entry);
}

void FleetService::updateForeignClaimRenewed(Entry& entry) const
{
    const std::optional<Scheduler::WorkerClaim>& foreign = entry.ownership.foreignClaim();
    entry.foreignClaimRenewed = false;
    if (!foreign)
        return;
    const int64_t leftMilliseconds = foreign->expiresAt.milliseconds - entry.report.clock.milliseconds;
    const std::chrono::milliseconds age
        = m_settings.ownership.claimTimeToLive - std::chrono::milliseconds(leftMilliseconds);
    entry.foreignClaimRenewed = age < toMilliseconds(m_settings.syncInterval) * renewedWithinPerMille / 1000;
}

void FleetService::recordClaim(const Entry& entry, bool overAnother)
{
    m_claims.Increment();
    if (overAnother)
        m_takeovers.Increment();
    record(Common::EventKind::WorkerClaimed, entry, overAnother ? "over another daemon's claim" : "");
}

void FleetService::announceOwned(Entry& entry)
{
    m_owned.insert(entry.host.worker);
    m_ownedGauge.Set(static_cast<double>(m_owned.size()));
    record(Common::EventKind::WorkerOwned, entry, std::to_string(entry.report.tasks.size()) + " tasks adopted");
    announce(Change::Owned, entry);
}

void FleetService::announceLost(Entry& entry)
{
    m_owned.erase(entry.host.worker);
    entry.toAcknowledge.clear();
    m_ownedGauge.Set(static_cast<double>(m_owned.size()));
    const std::optional<Scheduler::WorkerClaim>& foreign = entry.ownership.foreignClaim();
    record(Common::EventKind::WorkerLost, entry, foreign ? "claimed by " + foreign->daemon.value() : "");
    announce(Change::Lost, entry);
}

void FleetService::recordLeaving(Entry& entry)
{
    const bool leaving = isLeaving(entry);
    if (leaving == entry.leavingRecorded)
        return;
    entry.leavingRecorded = leaving;
    if (leaving)
        record(Common::EventKind::WorkerLeaving, entry, "");
}

void FleetService::announce(Change change, const Entry& entry)
{
    const Scheduler::OwnedWorker worker = toOwnedWorker(entry);
    for (const Listener& listener : m_listeners)
        listener(change, worker);
}

void FleetService::record(Common::EventKind kind, const Entry& entry, const std::string& note)
{
    m_context.timeline.record(Common::Event { .kind = kind, .worker = entry.host.worker.value(), .note = note });
}

void FleetService::finishDrainIfDone()
{
    if (!m_drained)
        return;
    const bool isDone = std::all_of(m_entries.begin(), m_entries.end(),
        [](const auto& entry) { return entry.second->ownership.state() == WorkerOwnership::State::Unclaimed; });
    if (!isDone)
        return;
    if (m_drainTimer)
        m_context.runtime.cancel(*m_drainTimer);
    m_drainTimer.reset();
    // Called from the event loop, since the callback may destroy this service.
    m_context.runtime.schedule(Common::Duration::zero(), std::exchange(m_drained, nullptr));
}

Scheduler::OwnedWorker FleetService::toOwnedWorker(const Entry& entry) const
{
    return { entry.host.worker, entry.host.address, entry.ownership.startBy(), isLeaving(entry), entry.report };
}

FleetService::Entry* FleetService::find(const Common::WorkerId& worker)
{
    const auto found = m_entries.find(worker);
    return found == m_entries.end() ? nullptr : found->second.get();
}

const FleetService::Entry* FleetService::find(const Common::WorkerId& worker) const
{
    const auto found = m_entries.find(worker);
    return found == m_entries.end() ? nullptr : found->second.get();
}

} // namespace Membership
