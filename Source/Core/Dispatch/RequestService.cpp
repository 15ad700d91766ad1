// Admission, forwarding, dispatch and retry of latency-critical requests.
#include "Dispatch/RequestService.h"

#include "Common/Event.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Dispatch/ForwardPort.h"
#include "Dispatch/WorkerPool.h"
#include "Ledger/ShardOwners.h"
#include "Policy/AdmissionQueue.h"
#include "Policy/LinkBudget.h"
#include "Policy/Placement.h"
#include "Policy/Router.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/RunCommand.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/WorkerPort.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

using Common::ErrorCode;
using Common::Event;
using Common::EventKind;
using Common::Failure;
using Common::Result;

namespace {

    /// Size of the headers and framing of a forwarded request.
    constexpr int64_t forwardOverheadBytes = 600;

    Common::Duration timeLeft(const ActiveRequest& active, Common::MonotonicTime now)
    {
        return std::max(Common::Duration::zero(), active.deadline - now);
    }

    Policy::QueuedRequest toQueued(const ActiveRequest& active)
    {
        return Policy::QueuedRequest {
            .id = active.request.id,
            .profile = active.profile.name,
            .team = active.service.team,
            .priority = active.profile.priority,
            .arrival = active.arrival,
            .deadline = active.deadline,
        };
    }

    Policy::PlacementRequest toPlacement(const ActiveRequest& active)
    {
        return Policy::PlacementRequest {
            .declared = active.service.resources,
            .kind = Scheduler::TaskKind::Request,
            .workClass = Policy::classOfService(active.service.name),
            .priority = active.profile.priority,
            .avoid = active.avoid,
        };
    }

} // namespace

RequestService::RequestService(
    const Scheduler::ServiceContext& context, const Dependencies& dependencies, const RequestServiceSettings& settings)
    : m_context(context)
    , m_dependencies(dependencies)
    , m_settings(settings)
    , m_counters(context.metrics)
{
}

void RequestService::start()
{
    m_dependencies.pool.onCapacityAvailable(m_lifetime.guard([this] { pump(); }));
    m_dependencies.pool.onLost(m_lifetime.guard([this](const Common::WorkerId& worker) { onWorkerLost(worker); }));
    m_dependencies.config.onChange(
        m_lifetime.guard([this] { m_dependencies.queue.setConfig(m_dependencies.config.current()); }));
    m_dependencies.queue.setConfig(m_dependencies.config.current());
}

void RequestService::submit(IncomingRequest request, OutcomeCallback callback)
{
    if (join(request, callback))
        return;
    if (const auto failure = refusal(request)) {
        const RequestOutcome outcome = NotRun { *failure };
        m_counters.countOutcome(outcome, 0);
        callback(outcome);
        return;
    }
    const ActivePointer active = makeActive(std::move(request), std::move(callback));
    if (active->idempotent || active->request.intentHeld)
        route(active);
    else
        beginIntent(active);
}

bool RequestService::join(const IncomingRequest& request, OutcomeCallback& callback)
{
    const auto known = m_active.find(request.id);
    if (known == m_active.end())
        return false;
    m_counters.joined.Increment();
    if (known->second->request.service != request.service) {
        callback(NotRun { { ErrorCode::DuplicateId, "the request id is in use for another service" } });
        return true;
    }
    // The request came back from the daemon that it was forwarded to; joined, it would wait for itself.
    if (request.hops > 0 && known->second->stage == Stage::Forwarded) {
        callback(
            NotRun { { ErrorCode::NoWorker, "this daemon has already forwarded the request", m_settings.retryAfter } });
        return true;
    }
    known->second->waiters.push_back(std::move(callback));
    return true;
}

std::optional<Failure> RequestService::refusal(const IncomingRequest& request) const
{
    const auto config = m_dependencies.config.current();
    if (!config)
        return Failure { ErrorCode::NoConfiguration, "this daemon has no configuration yet", m_settings.retryAfter };
    const auto service = config->services.find(request.service);
    if (service == config->services.end())
        return Failure { ErrorCode::UnknownService, "unknown service: " + request.service.value() };
    if (!config->profiles.contains(service->second.profile))
        return Failure { ErrorCode::UnknownProfile, "unknown profile: " + service->second.profile.value() };
    if (request.deadline && *request.deadline <= Common::Duration::zero())
        return Failure { ErrorCode::DeadlinePassed, "the deadline has passed" };
    if (m_active.size() >= m_settings.maximumKeptRequests
        || m_keptBytes + request.body.size() > m_settings.maximumKeptBytes)
        return Failure { ErrorCode::Overloaded, "this daemon has reached its limit of active requests",
            m_settings.retryAfter };
    return std::nullopt;
}

RequestService::ActivePointer RequestService::makeActive(IncomingRequest request, OutcomeCallback callback)
{
    const auto config = m_dependencies.config.current();
    auto active = std::make_shared<ActiveRequest>();
    active->service = config->services.at(request.service);
    active->profile = config->profiles.at(active->service.profile);
    active->idempotent = request.idempotent.value_or(active->profile.idempotent);
    active->arrival = m_context.runtime.now();
    active->deadline = active->arrival
        + std::min(request.deadline.value_or(active->profile.deadline), active->profile.maximumDeadline);
    active->request = std::move(request);
    active->waiters.push_back(std::move(callback));
    m_keptBytes += active->request.body.size();
    m_active.emplace(active->request.id, active);
    active->deadlineTimer = m_context.runtime.schedule(
        active->deadline - active->arrival, m_lifetime.guard([this, active] { onDeadline(active); }));
    m_context.timeline.record(Event { .kind = EventKind::RequestAdmitted, .request = active->request.id.value() });
    return active;
}

void RequestService::beginIntent(const ActivePointer& active)
{
    active->stage = Stage::Intent;
    const auto owner = m_dependencies.shards.assignedOwner(m_dependencies.shards.shardOf(active->request.id.value()));
    if (!owner) {
        if (!retryOwner(active))
            finish(active,
                NotRun { { ErrorCode::NotOwner, "the ledger shard of this id has no owner", m_settings.retryAfter } });
        return;
    }
    if (owner->id == m_dependencies.membership.self().id) {
        m_dependencies.intents.begin(active->request.id,
            m_lifetime.guard(
                [this, active](const Result<Ledger::IntentService::Verdict>& verdict) { onIntent(active, verdict); }));
        return;
    }
    if (active->request.hops > 0) {
        finish(active,
            NotRun {
                { ErrorCode::NotOwner, "the ledger shard of this id is being handed over", m_settings.retryAfter } });
        return;
    }
    forwardTo(active, owner->id, owner->address, true);
}

bool RequestService::retryOwner(const ActivePointer& active)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    const Common::MonotonicTime retryUntil = active->arrival + m_settings.ownerRetryTimeout;
    // Only the first daemon retries; one that the request was forwarded to does not.
    if (active->request.hops > 0 || now >= std::min(retryUntil, active->deadline))
        return false;
    active->stage = Stage::Intent;
    m_context.runtime.schedule(m_settings.ownerRetryInterval, m_lifetime.guard([this, active] {
        if (isActive(active))
            beginIntent(active);
    }));
    return true;
}

void RequestService::onIntent(const ActivePointer& active, const Result<Ledger::IntentService::Verdict>& verdict)
{
    using Ledger::IntentService;
    if (!isActive(active)) {
        // The deadline passed first and the caller got NotRun; end the intent as not run.
        if (verdict && std::holds_alternative<IntentService::Fresh>(*verdict))
            m_dependencies.intents.finish(
                active->request.id, IntentService::NotRun { { ErrorCode::DeadlinePassed, "" } });
        return;
    }
    if (!verdict) {
        if (verdict.reason().code != ErrorCode::NotOwner || !retryOwner(active))
            finish(active, NotRun { verdict.reason() });
    } else if (std::holds_alternative<IntentService::Fresh>(*verdict)) {
        active->ownsIntent = true;
        route(active);
    } else if (const auto* const answered = std::get_if<IntentService::Answered>(&*verdict)) {
        finish(active, Answered { answered->answer.contentType, answered->answer.body });
    } else if (const auto* const notRun = std::get_if<IntentService::NotRun>(&*verdict)) {
        finish(active, NotRun { notRun->reason });
    } else {
        finish(
            active, OutcomeUnknown { { ErrorCode::OutcomeUnknown, "an earlier request with this id may have run" } });
    }
}

void RequestService::route(const ActivePointer& active)
{
    // Also applies while draining: a daemon that is about to stop uses its remaining authority.
    const bool roomHere = m_dependencies.placement.freeSlots() > static_cast<int64_t>(m_dependencies.queue.size());
    if (roomHere || !forwardToPeer(active))
        enqueue(active);
}

bool RequestService::mayForward(const ActiveRequest& active, ForwardLimit limit) const
{
    // Forwarding to the owner of the id's ledger shard took one hop; the owner may forward once more.
    const int maximumHops = m_settings.maximumHops + (active.ownsIntent ? 1 : 0);
    const bool triedEnough
        = active.forwardsTried >= m_settings.maximumForwards && !m_draining && limit == ForwardLimit::Enforced;
    return active.request.hops < maximumHops && !triedEnough;
}

std::optional<Scheduler::PeerInfo> RequestService::choosePeer(const ActiveRequest& active, ForwardLimit limit)
{
    if (!mayForward(active, limit))
        return std::nullopt;
    // Requests should not wait at a daemon that is about to stop or owns no worker.
    const bool noWaitingHere = m_draining || m_dependencies.placement.totalSlots() == 0;
    const Common::MonotonicTime now = m_context.runtime.now();
    Scheduler::PeerInfo self = m_dependencies.membership.self();
    self.freeSlots = 0;
    const Policy::RouteQuery query {
        .self = self,
        .peers = m_dependencies.membership.livePeers(),
        .spill = active.profile.spill,
        .bytes = forwardOverheadBytes + static_cast<int64_t>(active.request.body.size()),
        .timeLeft = timeLeft(active, now),
    };
    const auto candidates = m_dependencies.router.choose(query, now, m_context.runtime.random());
    // From the peer's last load summary, which lags: free slots, busy workers, or no known worker.
    enum class Load {
        Room,
        Busy,
        Empty,
    };
    const auto loadOf = [](const Scheduler::PeerInfo& peer) {
        if (peer.freeSlots > 0)
            return Load::Room;
        return peer.totalSlots > 0 ? Load::Busy : Load::Empty;
    };
    const auto first = [&](Load load) -> std::optional<Scheduler::PeerInfo> {
        for (const Policy::Router::Candidate& candidate : candidates) {
            auto peer = m_dependencies.membership.find(candidate.daemon);
            const bool here = candidate.scope == Policy::Router::Scope::Here;
            if (here || !peer || peer->draining || loadOf(*peer) != load)
                continue;
            if (candidate.scope != Policy::Router::Scope::OtherRegion || m_dependencies.link.take(query.bytes, now))
                return peer;
        }
        return std::nullopt;
    };
    auto chosen = first(Load::Room);
    for (const Load load : { Load::Busy, Load::Empty }) {
        if (!chosen && noWaitingHere)
            chosen = first(load);
    }
    return chosen;
}

bool RequestService::forwardToPeer(const ActivePointer& active)
{
    const auto peer = choosePeer(*active, ForwardLimit::Enforced);
    if (!peer)
        return false;
    forwardTo(active, peer->id, peer->address, false);
    return true;
}

void RequestService::forwardTo(
    const ActivePointer& active, const Common::DaemonId& peer, const std::string& address, bool toOwner)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    active->stage = Stage::Forwarded;
    active->forwardedTo = address;
    ++active->forwardsTried;
    IncomingRequest forwardedRequest = active->request;
    forwardedRequest.deadline = timeLeft(*active, now);
    forwardedRequest.idempotent = active->idempotent;
    forwardedRequest.intentHeld = active->ownsIntent || active->request.intentHeld;
    ++forwardedRequest.hops;
    m_counters.forwarded.Increment();
    m_dependencies.router.onSent(peer, now);
    m_context.timeline.record(
        Event { .kind = EventKind::RequestForwarded, .request = active->request.id.value(), .note = peer.value() });
    m_dependencies.forward.forward(address, forwardedRequest, timeLeft(*active, now),
        m_lifetime.guard([this, active, peer, toOwner, now](
                             const RequestOutcome& outcome) { onForwarded(active, peer, toOwner, now, outcome); }));
}

void RequestService::onForwarded(const ActivePointer& active, const Common::DaemonId& peer, bool toOwner,
    Common::MonotonicTime sentAt, const RequestOutcome& outcome)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    const auto* const notRun = std::get_if<NotRun>(&outcome);
    const bool unreachable = notRun && notRun->reason.code == ErrorCode::ConnectFailed;
    const auto* const unknown = std::get_if<OutcomeUnknown>(&outcome);
    const bool silent
        = unknown && (unknown->reason.code == ErrorCode::Timeout || unknown->reason.code == ErrorCode::ConnectionLost);
    if (unreachable || silent)
        m_dependencies.router.onNoAnswer(peer, now);
    else
        m_dependencies.router.onAnswered(peer, now - sentAt, notRun != nullptr, now);
    if (!isActive(active))
        return;
    active->forwardedTo.clear();
    if (toOwner && notRun && notRun->reason.code == ErrorCode::NotOwner && retryOwner(active))
        return;
    // A request that did not run there may run elsewhere, but only the owner of its ledger shard may start a first run.
    if (notRun && !toOwner && timeLeft(*active, now) > Common::Duration::zero()) {
        route(active);
        return;
    }
    // An idempotent request that a silent peer may have run may run again, within the retry budget.
    active->mayHaveRun = active->mayHaveRun || unknown;
    if (silent && !toOwner && active->idempotent && mayRetry(*active, false)) {
        route(active);
        return;
    }
    finish(active, outcome);
}

void RequestService::enqueue(const ActivePointer& active)
{
    // It can neither run here nor be forwarded from here; the daemon that forwarded it may know other peers.
    const bool stranded = active->request.hops > 0 && m_dependencies.placement.totalSlots() == 0;
    if (stranded && !mayForward(*active, ForwardLimit::Ignored)) {
        finish(active,
            NotRun { { ErrorCode::NoWorker, "this daemon has no workers and may not forward the request",
                m_settings.retryAfter } });
        return;
    }
    active->stage = Stage::Queued;
    const Policy::AdmissionQueue::Offer offer = m_dependencies.queue.offer(toQueued(*active), m_context.runtime.now());
    if (const auto* const refused = std::get_if<Policy::AdmissionQueue::Refused>(&offer)) {
        // Peers may have room.
        if (!forwardToPeer(active))
            finish(active, NotRun { refused->failure });
        return;
    }
    active->admitted = true;
    pump();
}

void RequestService::pump()
{
    if (m_pumping)
        return;
    m_pumping = true;
    dropExpired();
    while (!m_dependencies.queue.empty() && m_dependencies.placement.freeSlots() > 0) {
        const Common::MonotonicTime now = m_context.runtime.now();
        const auto next = m_dependencies.queue.takeNext(now);
        if (!next)
            break;
        const auto found = m_active.find(next->id);
        if (found == m_active.end())
            continue;
        // A copy, since the request may end and be removed from the map during the call.
        const ActivePointer active = found->second;
        if (dispatch(active))
            continue;
        // There are free slots, but none is usable now: the worker is silent, or lacks other resources.
        if (!forwardFromQueue(active)) {
            m_dependencies.queue.putBack(*next, now);
            break;
        }
    }
    m_pumping = false;
    scheduleExpiry();
}

bool RequestService::forwardFromQueue(const ActivePointer& active)
{
    if (!forwardToPeer(active))
        return false;
    if (!std::exchange(active->admitted, false))
        return true;
    m_dependencies.queue.onCompleted(
        active->profile.name, active->service.team, Common::Duration::zero(), false, m_context.runtime.now());
    return true;
}

void RequestService::dropExpired()
{
    for (const Common::RequestId& id : m_dependencies.queue.dropExpired(m_context.runtime.now())) {
        const auto found = m_active.find(id);
        if (found == m_active.end())
            continue;
        // A copy, since finish() removes the request from the map.
        const ActivePointer active = found->second;
        active->admitted = false;
        finish(
            active, NotRun { { ErrorCode::DeadlineUnreachable, "no worker had room in time", m_settings.retryAfter } });
    }
}

void RequestService::scheduleExpiry()
{
    const auto next = m_dependencies.queue.nextExpiry();
    if (!next || (m_expiryAt && *m_expiryAt <= *next))
        return;
    m_expiryAt = next;
    const Common::Duration delay = std::max(Common::Duration::zero(), *next - m_context.runtime.now());
    m_context.runtime.schedule(delay + std::chrono::microseconds(1), m_lifetime.guard([this] {
        m_expiryAt.reset();
        pump();
    }));
}

bool RequestService::dispatch(const ActivePointer& active)
{
    const Common::TaskId task = nextTask();
    const Result<TaskPlacement> placement = m_dependencies.pool.place(task, toPlacement(*active));
    if (!placement)
        return false;
    active->stage = Stage::Dispatched;
    active->attempts.push_back({ task, *placement, m_context.runtime.now() });
    if (++active->attemptsSent > 1)
        m_counters.retries.Increment();
    send(active, active->attempts.back());
    return true;
}

void RequestService::send(const ActivePointer& active, const ActiveRequest::Attempt& attempt)
{
    m_counters.attempts.Increment();
    m_context.timeline.record(Event { .kind = EventKind::RequestDispatched,
        .request = active->request.id.value(),
        .worker = attempt.placement.worker.value(),
        .attempt = active->attemptsSent });
    const Scheduler::RunCommand command {
        .task = attempt.task,
        .boot = attempt.placement.boot,
        .startBy = attempt.placement.startBy,
        .service = active->service.name,
        .declared = active->service.resources,
        .contentType = active->request.contentType,
        .body = active->request.body,
        .timeout = timeLeft(*active, m_context.runtime.now()),
    };
    if (active->attempts.size() == 1)
        armSecondAttempt(active);
    m_dependencies.workers.run(attempt.placement.address, command,
        m_lifetime.guard([this, active, task = attempt.task](
                             const Result<Scheduler::RunAnswer>& result) { onRun(active, task, result); }));
}

void RequestService::armSecondAttempt(const ActivePointer& active)
{
    if (!active->idempotent || active->profile.maximumAttempts < 2)
        return;
    const Common::Duration delay = timeLeft(*active, m_context.runtime.now()) * m_settings.secondAttemptPercent / 100;
    active->secondAttemptTimer
        = m_context.runtime.schedule(delay, m_lifetime.guard([this, active] { sendSecondAttempt(active); }));
}

void RequestService::sendSecondAttempt(const ActivePointer& active)
{
    active->secondAttemptTimer.reset();
    if (!isActive(active) || active->stage != Stage::Dispatched || active->attempts.size() != 1)
        return;
    if (!mayRetry(*active, false))
        return;
    active->avoid.push_back(active->attempts.front().placement.worker);
    dispatch(active);
}

void RequestService::onRun(
    const ActivePointer& active, const Common::TaskId& task, const Result<Scheduler::RunAnswer>& result)
{
    const auto found = std::find_if(active->attempts.begin(), active->attempts.end(),
        [&](const ActiveRequest::Attempt& attempt) { return attempt.task == task; });
    if (result && found != active->attempts.end())
        m_dependencies.pool.recordAnswer(task, m_context.runtime.now() - found->startedAt);
    else if (result)
        m_dependencies.pool.recordEnd(task);
    if (found == active->attempts.end() || !isActive(active)) {
        pump();
        return;
    }
    const ActiveRequest::Attempt attempt = *found;
    active->attempts.erase(found);
    if (!result) {
        onAttemptFailed(active, attempt, result.reason());
        pump();
        return;
    }
    const Common::MonotonicTime now = m_context.runtime.now();
    m_dependencies.health.recordOutcome(attempt.placement.worker, active->service.name.value(), true, now);
    budget(active->profile).onSuccess();
    m_dependencies.queue.onCompleted(active->profile.name, active->service.team, now - attempt.startedAt, true, now);
    active->admitted = false;
    finish(active, Answered { result->contentType, result->body });
    pump();
}

void RequestService::onAttemptFailed(
    const ActivePointer& active, const ActiveRequest::Attempt& attempt, const Failure& failure)
{
    const bool provedNotRun = Scheduler::provesNotRun(failure.code);
    const bool ended = provedNotRun || failure.code == ErrorCode::WorkFailed;
    if (ended)
        m_dependencies.pool.recordEnd(attempt.task);
    else
        m_dependencies.pool.abandon(attempt.task);
    if (failure.code != ErrorCode::StartTooLate && failure.code != ErrorCode::WorkerRebooted)
        m_dependencies.health.recordOutcome(
            attempt.placement.worker, active->service.name.value(), false, m_context.runtime.now());
    active->avoid.push_back(attempt.placement.worker);
    if (!provedNotRun)
        active->mayHaveRun = true;
    if (!active->attempts.empty())
        return;
    if ((!active->mayHaveRun || active->idempotent) && mayRetry(*active, provedNotRun)) {
        if (!dispatch(active) && !forwardFromQueue(active))
            requeue(active);
        return;
    }
    Failure reason = failure;
    reason.retryAfter = m_settings.retryAfter;
    finish(active, NotRun { reason });
}

void RequestService::requeue(const ActivePointer& active)
{
    active->stage = Stage::Queued;
    m_dependencies.queue.putBack(toQueued(*active), m_context.runtime.now());
    scheduleExpiry();
}

bool RequestService::mayRetry(const ActiveRequest& active, bool provedNotRun)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    if (active.attemptsSent >= active.profile.maximumAttempts || timeLeft(active, now) <= Common::Duration::zero())
        return false;
    // A refused start cost its worker nothing, so it isn't charged to the budget.
    return provedNotRun || budget(active.profile).take(now);
}

void RequestService::onWorkerLost(const Common::WorkerId& worker)
{
    const Failure lost { ErrorCode::ConnectionLost, "this daemon no longer owns the worker" };
    std::vector<std::pair<ActivePointer, Common::TaskId>> affected;
    for (const auto& [id, active] : m_active) {
        for (const ActiveRequest::Attempt& attempt : active->attempts) {
            if (attempt.placement.worker == worker && active->idempotent)
                affected.emplace_back(active, attempt.task);
        }
    }
    for (const auto& [active, task] : affected)
        onRun(active, task, lost);
    tick();
}

void RequestService::tick()
{
    pump();
    forwardQueued();
}

void RequestService::forwardQueued()
{
    if (m_dependencies.placement.freeSlots() > 0 || m_dependencies.queue.empty())
        return;
    // Without workers, queued requests would never run.
    const ForwardLimit limit
        = m_dependencies.placement.totalSlots() == 0 ? ForwardLimit::Ignored : ForwardLimit::Enforced;
    std::vector<ActivePointer> queued;
    for (const auto& [id, active] : m_active) {
        if (active->stage == Stage::Queued)
            queued.push_back(active);
    }
    for (const ActivePointer& active : queued) {
        const auto peer = choosePeer(*active, limit);
        // Without a peer for this request there is hardly one for the rest; they keep their positions in the queue.
        if (!peer)
            return;
        if (!m_dependencies.queue.cancel(active->request.id, m_context.runtime.now()))
            continue;
        active->admitted = false;
        forwardTo(active, peer->id, peer->address, false);
    }
}

void RequestService::onDeadline(const ActivePointer& active)
{
    active->deadlineTimer.reset();
    if (!isActive(active))
        return;
    const Failure passed { ErrorCode::DeadlinePassed, "the deadline has passed" };
    // onIntent() ends an intent that is still being written.
    finish(active, NotRun { passed });
}

void RequestService::setDraining() { m_draining = true; }

bool RequestService::cancel(const Common::RequestId& id)
{
    const auto found = m_active.find(id);
    if (found == m_active.end())
        return false;
    const ActivePointer active = found->second;
    m_counters.cancelled.Increment();
    const Failure cancelled { ErrorCode::Cancelled, "the caller cancelled the request" };
    if (active->stage == Stage::Forwarded)
        m_dependencies.forward.cancel(active->forwardedTo, id.value());
    finish(active, NotRun { cancelled });
    return true;
}

void RequestService::finish(const ActivePointer& active, RequestOutcome outcome)
{
    const bool underWay = active->stage == Stage::Dispatched || active->stage == Stage::Forwarded;
    const bool clear = active->attempts.empty() && active->forwardedTo.empty();
    if (const auto* const notRun = std::get_if<NotRun>(&outcome);
        notRun && (active->mayHaveRun || (underWay && !clear)))
        outcome = OutcomeUnknown { notRun->reason };
    m_active.erase(active->request.id);
    m_keptBytes -= active->request.body.size();
    for (const auto& timer : { active->deadlineTimer, active->secondAttemptTimer }) {
        if (timer)
            m_context.runtime.cancel(*timer);
    }
    releaseQueueAccount(*active, outcome);
    for (const ActiveRequest::Attempt& attempt : active->attempts)
        m_dependencies.pool.abandon(attempt.task);
    active->attempts.clear();
    endIntent(*active, outcome);
    const Common::Duration took = m_context.runtime.now() - active->arrival;
    m_counters.countOutcome(outcome, std::chrono::duration<double>(took).count());
    const EventKind kinds[] { EventKind::RequestAnswered, EventKind::RequestNotRun, EventKind::RequestOutcomeUnknown };
    m_context.timeline.record(Event { .kind = kinds[outcome.index()], .request = active->request.id.value() });
    const auto waiters = std::move(active->waiters);
    active->waiters.clear();
    for (const OutcomeCallback& waiter : waiters)
        waiter(outcome);
}

void RequestService::releaseQueueAccount(const ActiveRequest& active, const RequestOutcome& outcome)
{
    if (!active.admitted)
        return;
    const Common::MonotonicTime now = m_context.runtime.now();
    if (active.stage == Stage::Queued && m_dependencies.queue.cancel(active.request.id, now))
        return;
    m_dependencies.queue.onCompleted(active.profile.name, active.service.team, now - active.arrival, false, now);
}

void RequestService::endIntent(const ActiveRequest& active, const RequestOutcome& outcome)
{
    if (!active.ownsIntent)
        return;
    if (const auto* const answered = std::get_if<Answered>(&outcome)) {
        m_dependencies.intents.finish(
            active.request.id, Scheduler::RunAnswer { {}, answered->contentType, answered->body });
    } else if (const auto* const notRun = std::get_if<NotRun>(&outcome)) {
        m_dependencies.intents.finish(active.request.id, Ledger::IntentService::NotRun { notRun->reason });
    } else {
        m_dependencies.intents.finish(active.request.id, Ledger::IntentService::Unknown {});
    }
}

bool RequestService::isActive(const ActivePointer& active) const
{
    const auto found = m_active.find(active->request.id);
    return found != m_active.end() && found->second == active;
}

Policy::RetryBudget& RequestService::budget(const Scheduler::Profile& profile)
{
    const auto [entry, isNew] = m_budgets.try_emplace(profile.name, profile.retryBudgetPercent);
    entry->second.setPercent(profile.retryBudgetPercent);
    return entry->second;
}

Common::TaskId RequestService::nextTask()
{
    return Common::TaskId("r:" + m_dependencies.membership.self().id.value() + ":" + std::to_string(++m_lastTask));
}

} // namespace Dispatch
