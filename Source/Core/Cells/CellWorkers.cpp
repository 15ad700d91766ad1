// Polls and orders to the workers of one cell.
#include "Cells/CellWorkers.h"

#include "Cells/AnswerWindow.h"
#include "Common/Log.h"

#include <algorithm>
#include <utility>

namespace Cells {

namespace {

    /// Number of polls in a row that a worker must leave unanswered before it counts as silent.
    constexpr uint32_t silentPolls = 3;
    /// Number of polls that a lease lasts for, see CellSettings::pollWait.
    constexpr int pollsInLease = 4;

    WorkerTarget targetOf(const CellWorker& worker) { return WorkerTarget { worker.id(), worker.entry().address }; }

    /// Whether the call that failed may still be carried out.
    bool mayArriveLate(const Common::Failure& reason)
    {
        return reason.code != Common::ErrorCode::ConnectFailed && reason.code != Common::ErrorCode::NotOwner;
    }

    /// Whether the report leaves out no run.
    bool isComplete(const RunReport& report)
    {
        return report.ended.size() < CellWorkers::maximumListedEnds && report.unreadable == 0;
    }

} // namespace

/// The open poll of one worker and the timer of its next poll.
struct CellWorkers::Link {
    bool polling = false;
    std::optional<Scheduler::TimerId> timer;
    Common::MonotonicTime timerDue;
    Common::Duration retryPause {};
    /// The open poll's window for its answer; empty if the worker was reachable when it was polled.
    std::shared_ptr<const AnswerWindow> window;
    /// Whether the last report listed ends, and when it was read, on the clock that includes suspended time. Empty if
    /// it was read too late to say what the worker was like then.
    bool listsEnds = false;
    std::optional<Common::MonotonicTime> heardAt;
    /// When the last answer to a poll or a probe was read, on the clock that includes suspended time.
    std::optional<Common::MonotonicTime> answeredAt;
    /// Start orders that wait for the answer to a probe, and the time that it has.
    std::vector<std::function<void()>> waitingStarts;
    std::shared_ptr<const AnswerWindow> probeWindow;
    /// An acknowledgement of the ends up to that number which waits for its answer. Carried out late by a next life, it
    /// would forget the ends of what an order with the same token had started there. So orders beside or after it have
    /// a higher token: a life that has carried out one of them refuses the acknowledgement.
    struct Acknowledgement {
        uint64_t through = 0;
        Common::MonotonicTime sentAt;
        FencingToken token;
    };
    std::optional<Acknowledgement> acknowledgement;
    /// The worker has forgotten the ends up to this number.
    uint64_t forgottenThrough = 0;
    /// Sent with all calls to the present life unless its first token, which names it, is higher; and since when.
    FencingToken raisedToken;
    Common::MonotonicTime tokenRaisedAt;

    FencingToken tokenFor(const CellWorker& worker) const { return std::max(worker.token, raisedToken); }
    void raiseToken(FencingToken token, Common::MonotonicTime now)
    {
        raisedToken = token;
        tokenRaisedAt = now;
    }
    /// How much longer than usual answers may take, since this process was too late to tell whether one had arrived.
    Common::Duration extraTime {};
    /// The wait of the open poll, and when it was sent on the clock that includes suspended time.
    Common::Duration wait {};
    Common::MonotonicTime askedAt;
    /// The last polls in a row that the worker has left unanswered.
    uint32_t unansweredPolls = 0;
    /// A poll through another host is under way.
    bool askingThroughHost = false;
    /// The host that is asked, and whether its last poll was answered. Only then may the next one renew the lease: that
    /// of a worker which nobody reaches must be able to expire.
    std::string throughHost;
    bool heardThroughHost = false;
    struct Rebirth {
        int64_t startedAtMilliseconds = 0;
        Common::MonotonicTime heardAt;
    };
    /// A later start of the worker that doesn't count yet; see acceptRebirth().
    std::optional<Rebirth> rebirth;
    bool silenceLogged = false;
    bool latenessLogged = false;
    bool idleLogged = false;
};

CellWorkers::CellWorkers(Scheduler::Runtime& runtime, WorkerOrders& orders, FencingToken last,
    const CellSettings& settings, InheritedLeases inheritedLeases, Hooks hooks)
    : m_runtime(runtime)
    , m_orders(orders)
    , m_tokens(last)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_inheritedLeases(inheritedLeases)
{
    confirmIdleAtEndOfInheritedLeases();
}

CellWorkers::~CellWorkers() = default;

void CellWorkers::earlierOwnersStopped()
{
    m_inheritedLeases.ownersStopped(m_runtime.now(), m_settings);
    confirmIdleAtEndOfInheritedLeases();
}

/// Recovered tasks wait for that; the next poll of a silent worker may end more than a second later.
void CellWorkers::confirmIdleAtEndOfInheritedLeases()
{
    m_runtime.schedule(m_inheritedLeases.end() - m_runtime.now(), m_lifetime.guard([this] {
        for (const auto& [id, worker] : m_workers) {
            if (!m_closed && !worker->contacted)
                confirmIdle(*worker);
        }
    }));
}

CellWorkers::Link& CellWorkers::link(const CellWorker& worker) { return m_links[worker.id()]; }

CellWorker* CellWorkers::find(const Common::WorkerId& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

CellWorker& CellWorkers::addUnknown(const WorkerEntry& entry)
{
    CellWorker& worker = *m_workers.emplace(entry.id, std::make_unique<CellWorker>(entry, m_settings)).first->second;
    worker.token = m_tokens.take();
    schedulePoll(entry.id, Common::Duration::zero());
    return worker;
}

void CellWorkers::addRecorded(const RecordedWorker& recorded)
{
    WorkerEntry entry;
    entry.id = recorded.id;
    entry.address = recorded.address;
    entry.startedAtMilliseconds = recorded.startedAtMilliseconds;
    CellWorker& worker = addUnknown(entry);
    worker.listed = false;
    worker.lateCallsEndMilliseconds = recorded.lateCallsEndMilliseconds;
    if (recorded.lateCallsEndMilliseconds != 0)
        worker.lease().expectLateCallsUntil(m_runtime.now()
            + std::chrono::milliseconds(recorded.lateCallsEndMilliseconds - m_runtime.wallMilliseconds()));
    for (const RecordedWorker::LateStart& start : recorded.lateStarts) {
        const std::chrono::milliseconds left(start.endMilliseconds - m_runtime.wallMilliseconds());
        // The wall clocks of hosts may differ.
        worker.callsUnderWay.startUnanswered(
            start.task, m_runtime.now() + std::min<Common::Duration>(left - m_settings.longestCallDelay, {}));
    }
}

/// Orders name the worker's id, so a worker under another id at its address carries out none of them.
void CellWorkers::noteReplacedBy(const WorkerEntry& entry)
{
    for (const auto& [id, worker] : m_workers) {
        if (id != entry.id && worker->entry().address == entry.address && worker->startedAtMilliseconds != 0
            && worker->startedAtMilliseconds < entry.startedAtMilliseconds)
            worker->replaced = true;
    }
}

void CellWorkers::noteLateCallsEnd(CellWorker& worker)
{
    const Common::MonotonicTime end = worker.lease().lateCallsEnd();
    if (end != Common::MonotonicTime {})
        worker.lateCallsEndMilliseconds
            = m_runtime.wallMilliseconds() + (end - m_runtime.now()) / std::chrono::milliseconds(1);
}

void CellWorkers::add(const WorkerEntry& entry)
{
    CellWorker* const worker = find(entry.id);
    if (!worker) {
        CellWorker& added = addUnknown(entry);
        if (const auto removed = m_removed.extract(entry.id); !removed.empty())
            added.lease().expectLateCallsUntil(removed.mapped());
        noteLateCallsEnd(added);
        noteReplacedBy(entry);
        if (entry.draining)
            added.drainingSince = m_runtime.now();
        return;
    }
    const bool rebooted = entry.startedAtMilliseconds != 0 && worker->startedAtMilliseconds != 0
        && entry.startedAtMilliseconds > worker->startedAtMilliseconds;
    const bool wasDraining = worker->entry().draining;
    worker->update(entry);
    if (worker->entry().draining && !wasDraining)
        worker->drainingSince = m_runtime.now();
    worker->listed = true;
    worker->unlisted = false;
    // The record is of an earlier release, which doesn't tell the life.
    if (worker->startedAtMilliseconds == 0 && !worker->contacted) {
        worker->startedAtMilliseconds = entry.startedAtMilliseconds;
        expectLateCallsOfEarlierOwner(*worker);
    }
    if (!rebooted)
        return;
    acceptRebirth(*worker, entry.startedAtMilliseconds);
    pollSoon(entry.id);
}

/// The worker has started anew. Until the store has confirmed the ownership after that was heard, its runs aren't given
/// up, and it gets no new ones: a successor may have acknowledged their ends, and the new life has forgotten the
/// successor's token. Returns whether the new life counts.
bool CellWorkers::acceptRebirth(CellWorker& worker, int64_t startedAtMilliseconds)
{
    Link& state = link(worker);
    worker.reachable = false;
    if (!state.rebirth || state.rebirth->startedAtMilliseconds < startedAtMilliseconds)
        state.rebirth = Link::Rebirth { startedAtMilliseconds, m_runtime.now() };
    if (m_hooks.ownedAt() < state.rebirth->heardAt) {
        m_hooks.confirmOwnership(m_lifetime.guard([this, id = worker.id()] {
            CellWorker* const reborn = find(id);
            const auto found = m_links.find(id);
            if (m_closed || !reborn || found == m_links.end() || !found->second.rebirth)
                return;
            acceptRebirth(*reborn, found->second.rebirth->startedAtMilliseconds);
        }));
        return false;
    }
    worker.startedAtMilliseconds = state.rebirth->startedAtMilliseconds;
    state.rebirth.reset();
    state.polling = false;
    state.unansweredPolls = 0;
    state.acknowledgement.reset();
    state.forgottenThrough = 0;
    worker.lease().startAnew();
    noteLateCallsEnd(worker);
    // A late host may have sent a poll for the earlier owner after the end of its authority.
    const Common::MonotonicTime earlierCallsEnd
        = m_inheritedLeases.end() + m_settings.longestExtraTime + m_settings.longestCallDelay;
    if (!worker.contacted || m_runtime.now() < earlierCallsEnd)
        expectLateCallsOfEarlierOwner(worker);
    worker.token = m_tokens.take();
    worker.replaced = false;
    worker.answered = false;
    worker.probeOverdue = false;
    state.answeredAt.reset();
    continueStarts(worker.id());
    m_hooks.runsCleared(worker, true);
    pollSoon(worker.id());
    return true;
}

/// Calls of an earlier owner to a former life of the worker may be carried out late.
void CellWorkers::expectLateCallsOfEarlierOwner(CellWorker& worker)
{
    if (worker.startedAtMilliseconds == 0)
        return;
    const Common::Duration age = std::chrono::milliseconds(m_runtime.wallMilliseconds() - worker.startedAtMilliseconds);
    worker.lease().startedAnewAt(m_runtime.now() - std::max(age, Common::Duration::zero()));
    noteLateCallsEnd(worker);
}

void CellWorkers::unlist(const Common::WorkerId& id)
{
    CellWorker* const worker = find(id);
    if (!worker)
        return;
    worker->listed = false;
    worker->unlisted = true;
}

void CellWorkers::remove(const Common::WorkerId& id)
{
    if (const auto found = m_links.find(id); found != m_links.end() && found->second.timer)
        m_runtime.cancel(*found->second.timer);
    forget(id);
}

void CellWorkers::forget(const Common::WorkerId& id)
{
    const Common::MonotonicTime now = m_runtime.now();
    std::erase_if(m_removed, [now](const auto& row) { return row.second < now; });
    if (CellWorker* const worker = find(id)) {
        worker->lease().startAnew();
        m_removed[id] = worker->lease().lateCallsEnd();
    }
    m_links.erase(id);
    m_workers.erase(id);
}

void CellWorkers::pollSoon(const Common::WorkerId& id) { schedulePoll(id, Common::Duration::zero()); }

void CellWorkers::close() { m_closed = true; }

void CellWorkers::schedulePoll(const Common::WorkerId& id, Common::Duration delay)
{
    Link& link = m_links[id];
    const Common::MonotonicTime due = m_runtime.now() + delay;
    if (link.timer && link.timerDue <= due)
        return;
    if (link.timer)
        m_runtime.cancel(*link.timer);
    link.timerDue = due;
    link.timer = m_runtime.schedule(delay, m_lifetime.guard([this, id] {
        m_links[id].timer.reset();
        poll(id);
    }));
}

/// Grants a lease that ends no later than the authority: a successor doesn't wait longer. This owner has some left.
Common::WorkerTime CellWorkers::grantLease(CellWorker& worker)
{
    // Read first: this process may be suspended between the two.
    const Common::MonotonicTime now = m_runtime.now();
    return worker.lease().grant(std::min(m_settings.runLease, m_hooks.authorityLeft()), now);
}

/// A poll near the end of the authority returns early, so that the lease can be renewed before its end if the store
/// confirms the ownership meanwhile.
Common::Duration CellWorkers::pollWaitFor(const CellWorker& worker) const
{
    const Common::Duration usual
        = m_hooks.shouldPollFrequently(worker) ? m_settings.frequentPollWait : m_settings.pollWait;
    if (!mayGrant())
        return usual;
    return std::clamp(m_hooks.authorityLeft() / pollsInLease, std::min(m_settings.shortestPollWait, usual), usual);
}

void CellWorkers::poll(const Common::WorkerId& id)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker || link(*worker).polling)
        return;
    m_hooks.acknowledge(*worker);
    WorkerOrders::PollRequest request;
    request.token = link(*worker).tokenFor(*worker);
    Link& state = link(*worker);
    const bool mayAcknowledge = mayAcknowledgeTo(*worker, state);
    const bool acknowledges = mayAcknowledge && worker->acknowledgedThrough > state.forgottenThrough;
    const Asked asked { m_runtime.now(), worker->token };
    if (acknowledges) {
        request.acknowledgedThrough = worker->acknowledgedThrough;
        state.acknowledgement = Link::Acknowledgement { worker->acknowledgedThrough, asked.at, request.token };
    }
    const bool occupied = !worker->allocations().empty();
    // The lease of an unreachable worker must be able to expire, so polls don't renew it until the worker answers.
    if (occupied && worker->reachable && worker->lease().isClockKnown() && mayGrant())
        request.leaseUntil = grantLease(*worker);
    const bool hasUnacknowledgedEnds = !worker->pendingEnds.empty() || (state.listsEnds && !mayAcknowledge);
    // Ends that must stay at the worker for longer needn't be read again soon.
    const bool mustWithhold = worker->pendingEnds.empty() && worker->callsUnderWay.hasStarts();
    if (occupied && worker->reachable && (!hasUnacknowledgedEnds || mustWithhold))
        request.wait = pollWaitFor(*worker);
    request.extraTime = state.extraTime;
    state.polling = true;
    state.wait = request.wait;
    state.window = worker->reachable
        ? nullptr
        : std::make_shared<AnswerWindow>(m_runtime, m_settings.answerTimeout + state.extraTime);
    state.askedAt = m_runtime.suspendAwareNow();
    m_orders.pollRuns(targetOf(*worker), request,
        m_lifetime.guard(
            [this, id, asked](const Common::Result<RunReport>& report) { onPollAnswer(id, asked, report); }));
}

/// A worker numbers its ends from 1 again when it is started anew, so a number that belongs to its former life would
/// make it forget ends that nobody has read. So ends are acknowledged only right after a report that lists ends: too
/// soon for the worker to have been started anew, to have got a task and to have ended it. None is acknowledged beside
/// a start order that may be carried out late: see CallsUnderWay.
bool CellWorkers::mayAcknowledgeTo(const CellWorker& worker, const Link& link) const
{
    const bool mayStartLate = worker.callsUnderWay.hasStarts()
        && m_runtime.now() - worker.callsUnderWay.lastStart() <= m_settings.longestCallDelay;
    return worker.reachable && !mayStartLate && !link.acknowledgement && link.listsEnds && link.heardAt
        && m_runtime.suspendAwareNow() - *link.heardAt <= m_settings.answerTimeout;
}

void CellWorkers::onPollAnswer(const Common::WorkerId& id, const Asked& asked, const Common::Result<RunReport>& report)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker)
        return;
    if (asked.token != worker->token) {
        // The present life has a poll of its own; the answer may tell of a later one.
        if (report)
            acceptReport(*worker, *report, asked);
        return;
    }
    link(*worker).polling = false;
    if (isFenced(*worker, asked, report)) {
        m_hooks.fenced();
        return;
    }
    if (Link& state = link(*worker); state.acknowledgement && state.acknowledgement->sentAt == asked.at) {
        if (report) {
            state.forgottenThrough = state.acknowledgement->through;
        } else if (mayArriveLate(report.reason())) {
            state.raiseToken(m_tokens.take(), m_runtime.now());
            LC_INFO(Worker,
                "event=acknowledgement-unanswered worker=" << id.value()
                                                           << " through=" << state.acknowledgement->through
                                                           << " next-token=" << state.raisedToken.value);
        }
        state.acknowledgement.reset();
    }
    // An order with a higher token has overtaken the poll.
    if (!report && report.reason().code == Common::ErrorCode::NotOwner) {
        pollSoon(id);
        return;
    }
    if (report)
        onReport(*worker, *report, asked);
    else
        onPollFailure(*worker, report.reason(), asked.at);
    if (m_closed || dropIfGone(*worker))
        return;
    schedulePoll(id, report ? nextPollDelay(*worker) : link(*worker).retryPause);
}

/// Whether a newer owner has called the worker. A poll that was meant for a former life is refused by the present one.
bool CellWorkers::isFenced(const CellWorker& worker, const Asked& asked, const Common::Result<RunReport>& report) const
{
    const auto found = m_links.find(worker.id());
    const bool hasLastToken = found == m_links.end() || asked.at > found->second.tokenRaisedAt;
    return !report && report.reason().code == Common::ErrorCode::NotOwner && asked.token == worker.token
        && hasLastToken;
}

void CellWorkers::onReport(CellWorker& worker, const RunReport& report, const Asked& asked)
{
    Link& state = link(worker);
    if (state.silenceLogged)
        LC_INFO(Worker, "event=worker-heard worker=" << worker.id().value());
    state.silenceLogged = false;
    state.latenessLogged = false;
    state.retryPause = {};
    state.unansweredPolls = 0;
    state.heardThroughHost = false;
    if (m_runtime.now() - asked.at < state.wait + m_settings.answerTimeout / 2)
        state.extraTime = {};
    if (!acceptReport(worker, report, asked))
        return;
    worker.reachable = true;
    state.listsEnds = !report.ended.empty();
    state.heardAt = m_runtime.suspendAwareNow();
    if (*state.heardAt - state.askedAt > state.wait + m_settings.answerTimeout)
        state.heardAt.reset();
    m_hooks.report(worker, report, asked.at);
    worker.contacted = true;
    worker.probeOverdue = false;
    if (!m_closed && state.heardAt)
        noteAnswer(worker);
}

/// Takes over what the report says of the worker's life and clock. False if it isn't of the present life, or if it
/// answers a call that didn't carry that life's token: calls to former lives may have been carried out since.
bool CellWorkers::acceptReport(CellWorker& worker, const RunReport& report, const Asked& asked)
{
    const int64_t startedAt = report.startedAtMilliseconds;
    const auto& rebirth = link(worker).rebirth;
    const int64_t present = rebirth ? rebirth->startedAtMilliseconds : worker.startedAtMilliseconds;
    if (startedAt != 0 && startedAt < present)
        return false;
    if (startedAt != 0 && worker.startedAtMilliseconds != 0 && startedAt != worker.startedAtMilliseconds) {
        acceptRebirth(worker, startedAt);
        return false;
    }
    if (asked.token != worker.token)
        return false;
    const Common::MonotonicTime now = m_runtime.now();
    if (startedAt != 0 && worker.startedAtMilliseconds == 0) {
        worker.startedAtMilliseconds = startedAt;
        if (!worker.contacted && !worker.listed)
            expectLateCallsOfEarlierOwner(worker);
    }
    if (!std::exchange(worker.answered, true)) {
        worker.lease().answered(now);
        worker.lateCallsEndMilliseconds = std::min(worker.lateCallsEndMilliseconds, m_runtime.wallMilliseconds());
    }
    worker.lease().synchronizeClock(report.clock, now);
    // An earlier owner may have renewed the lease just before.
    if (!worker.contacted && now < m_inheritedLeases.end())
        worker.lease().grant(std::min(m_settings.runLease, m_inheritedLeases.end() - now), now);
    worker.lastReportAt = now;
    if (isComplete(report))
        worker.callsUnderWay.settleByReport(asked.at);
    return true;
}

/// Asks another host for a report of the worker, which may have runs.
void CellWorkers::askThroughHost(CellWorker& worker)
{
    Link& state = link(worker);
    const bool mayHaveRuns = !worker.allocations().empty() || (!worker.contacted && !isProvablyIdle(worker));
    if (state.askingThroughHost || !mayHaveRuns)
        return;
    PollForHost poll { WorkerTarget { worker.id(), worker.entry().address }, state.tokenFor(worker), {} };
    if (mayRenewThroughHost(worker, state))
        poll.leaseUntil = grantLease(worker);
    state.askingThroughHost = true;
    state.throughHost = m_hooks.pollThroughHost(poll, state.heardThroughHost ? state.throughHost : std::string(),
        m_lifetime.guard([this, id = worker.id(), asked = Asked { m_runtime.now(), worker.token }](
                             const Common::Result<RunReport>& report) {
            CellWorker* const silent = find(id);
            if (!m_closed && silent)
                onAnswerThroughHost(*silent, asked, report);
        }));
    if (state.throughHost.empty())
        state.askingThroughHost = state.heardThroughHost = false;
}

/// Stops can't be delivered while the worker is unreachable: what they are for ends with the lease.
bool CellWorkers::mayRenewThroughHost(const CellWorker& worker, const Link& state) const
{
    const auto& runs = worker.allocations();
    return state.heardThroughHost && mayGrant() && worker.lease().isClockKnown()
        && std::any_of(runs.begin(), runs.end(), [](const auto& row) { return row.second.reportedRunning; })
        && std::none_of(runs.begin(), runs.end(), [](const auto& row) { return row.second.stopping; });
}

/// The worker stays unreachable for orders, and its ends aren't acknowledged: the next poll is too far away for that.
void CellWorkers::onAnswerThroughHost(CellWorker& worker, const Asked& asked, const Common::Result<RunReport>& report)
{
    Link& state = link(worker);
    state.askingThroughHost = false;
    if (isFenced(worker, asked, report)) {
        m_hooks.fenced();
        return;
    }
    // A poll of this host was answered meanwhile.
    if (worker.reachable || worker.lastReportAt > asked.at)
        return;
    if (!report || !acceptReport(worker, *report, asked)) {
        state.heardThroughHost = false;
        return;
    }
    const bool first = !std::exchange(state.heardThroughHost, true);
    if (first) {
        LC_INFO(Worker,
            "event=worker-heard-through-host worker=" << worker.id().value() << " runs=" << report->running.size()
                                                      << " ends=" << report->ended.size());
    }
    state.unansweredPolls = 0;
    m_hooks.report(worker, *report, asked.at);
    worker.contacted = true;
    // The lease hasn't been renewed since the last direct poll.
    if (first && !m_closed)
        askThroughHost(worker);
}

void CellWorkers::onPollFailure(CellWorker& worker, const Common::Failure& reason, Common::MonotonicTime askedAt)
{
    Link& state = link(worker);
    state.retryPause
        = std::clamp(2 * state.retryPause, m_settings.firstPollRetryPause, m_settings.longestPollRetryPause);
    const Common::Duration elapsed = m_runtime.now() - askedAt;
    if (!worker.reachable)
        judgeFailure(worker, reason, elapsed);
    else if (elapsed > state.wait + m_settings.answerTimeout + state.extraTime)
        giveMoreTime(worker, reason, elapsed);
    worker.reachable = false;
    if (!std::exchange(state.silenceLogged, true)) {
        LC_WARN(Worker,
            "event=worker-silent worker=" << worker.id().value() << " runs=" << worker.allocations().size()
                                          << " reason=" << Common::errorName(reason.code) << " after-ms="
                                          << (m_runtime.now() - askedAt) / std::chrono::milliseconds(1));
    }
    if (state.rebirth) {
        acceptRebirth(worker, state.rebirth->startedAtMilliseconds);
        return;
    }
    askThroughHost(worker);
    clearIfIdle(worker);
    confirmIdle(worker);
}

void CellWorkers::clearIfIdle(CellWorker& worker)
{
    if (worker.reachable || !isProvablyIdle(worker))
        return;
    if (!worker.contacted && !std::exchange(link(worker).idleLogged, true)) {
        LC_WARN(Worker,
            "event=worker-considered-idle worker=" << worker.id().value() << " listed=" << worker.listed
                                                   << " token=" << worker.token.value);
    }
    if (!worker.allocations().empty())
        m_hooks.runsCleared(worker, false);
}

/// Has the ownership confirmed if the worker is idle, or a run on it gone, unless a successor has taken the cell over.
void CellWorkers::confirmIdle(const CellWorker& worker)
{
    if (!needsConfirmation(worker))
        return;
    m_hooks.confirmOwnership(m_lifetime.guard([this, id = worker.id()] {
        CellWorker* const silent = find(id);
        if (!m_closed && silent)
            clearIfIdle(*silent);
    }));
}

bool CellWorkers::needsConfirmation(const CellWorker& worker) const
{
    const Common::MonotonicTime now = m_runtime.now();
    const auto& runs = worker.allocations();
    const auto awaitsConfirmation = [&](const auto& row) {
        return !isGone(worker, row.first, row.second) && isGoneAfter(worker, row.first, row.second, now);
    };
    return (!isProvablyIdle(worker) && isIdleAfter(worker, now))
        || (mayStartLate(worker) && areLateStartsOverAfter(worker, now))
        || std::any_of(runs.begin(), runs.end(), awaitsConfirmation);
}

/// Counts a poll of an unreachable worker as unanswered, or gives the next one more time.
void CellWorkers::judgeFailure(const CellWorker& worker, const Common::Failure& reason, Common::Duration elapsed)
{
    Link& state = link(worker);
    if (isProofOfSilence(state, reason, elapsed)) {
        ++state.unansweredPolls;
        return;
    }
    // The worker may have answered since the polls that it left unanswered.
    state.unansweredPolls = 0;
    giveMoreTime(worker, reason, elapsed);
}

/// Extends the next poll, since this process was too late to tell whether the last one was answered.
void CellWorkers::giveMoreTime(const CellWorker& worker, const Common::Failure& reason, Common::Duration elapsed)
{
    Link& state = link(worker);
    state.extraTime = std::clamp(
        std::max(2 * state.extraTime, elapsed - state.wait), m_settings.answerTimeout, m_settings.longestExtraTime);
    if (!std::exchange(state.latenessLogged, true)) {
        LC_WARN(Worker,
            "event=worker-poll-unjudged worker=" << worker.id().value() << " runs=" << worker.allocations().size()
                                                 << " reason=" << Common::errorName(reason.code)
                                                 << " after-ms=" << elapsed / std::chrono::milliseconds(1));
    }
}

bool CellWorkers::isProofOfSilence(const Link& link, const Common::Failure& reason, Common::Duration elapsed) const
{
    if (link.window && link.window->wasRead())
        return true;
    // A connection that was established is used however late this process is, as long as the poll has time left.
    if (reason.code == Common::ErrorCode::ConnectFailed)
        return elapsed < (m_settings.answerTimeout + link.extraTime) / 2;
    return elapsed < m_settings.answerTimeout / 2;
}

bool CellWorkers::isProvablyIdle(const CellWorker& worker) const { return isIdleAfter(worker, m_hooks.ownedAt()); }

/// Whether the unreachable worker is idle if only this owner, or an earlier one, can have reached it before `time`.
bool CellWorkers::isIdleAfter(const CellWorker& worker, Common::MonotonicTime time) const
{
    if (!worker.contacted && time < std::max(m_inheritedLeases.end(), worker.lease().lateLeasesEnd()))
        return false;
    if (!worker.lease().hasExpired(time))
        return false;
    // Nothing runs there any more, but runs may have ended well before, and a worker that lives reports them.
    const auto found = m_links.find(worker.id());
    return worker.unlisted || (found != m_links.end() && found->second.unansweredPolls >= silentPolls);
}

bool CellWorkers::isGone(const CellWorker& worker, const RunKey& run, const RunAllocation& allocation) const
{
    return isGoneAfter(worker, run, allocation, m_hooks.ownedAt());
}

/// As isIdleAfter, for one run.
bool CellWorkers::isGoneAfter(
    const CellWorker& worker, const RunKey& run, const RunAllocation& allocation, Common::MonotonicTime time) const
{
    return isIdleAfter(worker, time) && time >= lateRunEnd(worker, run, allocation);
}

CellWorker* CellWorkers::workerWithLateStart(const Jobs::TaskName& task) const
{
    const auto found = std::find_if(m_workers.begin(), m_workers.end(),
        [&](const auto& row) { return row.second->callsUnderWay.lastStart(task) && mayStartLate(*row.second); });
    return found == m_workers.end() ? nullptr : found->second.get();
}

bool CellWorkers::mayStartLate(const CellWorker& worker) const
{
    return worker.callsUnderWay.hasStarts() && !worker.replaced && !areLateStartsOverAfter(worker, m_hooks.ownedAt());
}

/// Whether nothing that late orders have started runs on the unreachable worker any more if only this owner can have
/// reached it before `time`.
bool CellWorkers::areLateStartsOverAfter(const CellWorker& worker, Common::MonotonicTime time) const
{
    const WorkerLease& lease = worker.lease();
    return !worker.reachable && isIdleAfter(worker, time)
        && time >= std::max(lease.unknownLeasesEnd(), lease.lateLeaseEnd(worker.callsUnderWay.lastStart()));
}

Common::MonotonicTime CellWorkers::lateRunEnd(
    const CellWorker& worker, const RunKey& key, const RunAllocation& run) const
{
    const WorkerLease& lease = worker.lease();
    const bool mayBeOnEitherLife
        = run.startOutcomeUnknown && lease.mayBeUnderWay(run.startUnansweredSince, worker.lastReportAt);
    if (worker.replaced || (!mayBeOnEitherLife && !worker.callsUnderWay.lastStart(key.task)))
        return {};
    // The platform's list may be older than a restart.
    return lease.unknownLeasesEnd();
}

bool CellWorkers::dropIfGone(CellWorker& worker)
{
    if (worker.listed || worker.reachable || !worker.allocations().empty() || !isProvablyIdle(worker)
        || mayStartLate(worker))
        return false;
    LC_INFO(Worker, "event=worker-gone worker=" << worker.id().value());
    const Common::WorkerId id = worker.id();
    m_hooks.runsCleared(worker, false);
    forget(id);
    m_hooks.dropped();
    return true;
}

Common::Duration CellWorkers::nextPollDelay(const CellWorker& worker) const
{
    const auto found = m_links.find(worker.id());
    if (!worker.answered || (found != m_links.end() && found->second.rebirth))
        return m_settings.orderRetry;
    if (!worker.pendingEnds.empty() || (found != m_links.end() && found->second.listsEnds))
        return m_settings.pollPauseAfterEnd;
    if (!worker.allocations().empty())
        return Common::Duration::zero();
    // Tasks may wait for the report that shows what came of them.
    return worker.callsUnderWay.hasStarts() ? m_settings.pollWait : m_settings.idlePollInterval;
}

void CellWorkers::start(CellWorker& worker, const RunOrder& order, const std::function<void(OrderAnswer)>& answered)
{
    sendStart(worker.id(), { order, worker.token, answered });
    // The next poll of an idle worker may be seconds away.
    schedulePoll(worker.id(), m_settings.frequentPollWait);
}

void CellWorkers::sendStart(const Common::WorkerId& id, const PendingStart& start)
{
    CellWorker* const worker = find(id);
    const RunKey run { start.order.task, start.order.attempt };
    if (m_closed || !worker)
        return;
    RunAllocation* const allocation = worker->find(run);
    if (!allocation || allocation->reportedRunning || allocation->stopping)
        return;
    // The order was meant for a former life; the present one reports whether it has carried it out.
    if (allocation->token != FencingToken {} && allocation->token != worker->token)
        return;
    if (worker->entry().draining) {
        start.answered(OrderAnswer { OrderVerdict::Withdrawn, std::nullopt });
        return;
    }
    // No copy can have arrived, and the next one may not arrive for long, or at a life that the task may not run on.
    const bool isSilent = !worker->reachable || worker->probeOverdue;
    if (!allocation->startOutcomeUnknown && (isSilent || worker->token != start.life)) {
        start.answered(OrderAnswer { OrderVerdict::Withdrawn, std::nullopt });
        return;
    }
    const auto again = m_lifetime.guard([this, id, start] { sendStart(id, start); });
    if (m_hooks.authorityLeft() < m_settings.shortestStartLease || !worker->reachable
        || !worker->lease().isClockKnown()) {
        m_runtime.schedule(m_settings.orderRetry, again);
        return;
    }
    if (needsProbe(*worker, *allocation)) {
        startAfterProbe(*worker, again);
        return;
    }
    Link& state = link(*worker);
    if (state.acknowledgement && state.acknowledgement->token == state.tokenFor(*worker))
        state.raiseToken(m_tokens.take(), m_runtime.now());
    const Common::WorkerTime until = grantLease(*worker);
    allocation->token = worker->token;
    const FencingToken callToken = state.tokenFor(*worker);
    // Read once: it names the copy when its answer comes.
    const Common::MonotonicTime sentAt = m_runtime.now();
    worker->callsUnderWay.startSent(run.task, sentAt);
    m_orders.start(targetOf(*worker), callToken, start.order, until,
        m_lifetime.guard([this, id, run, again, answered = start.answered, sentAt, callToken, token = worker->token](
                             const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            if (m_closed || !target)
                return;
            const bool mayArrive = !answer && mayArriveLate(answer.reason());
            if (!mayArrive)
                target->callsUnderWay.startSettled(run.task, sentAt);
            if (!answer) {
                RunAllocation* const ordered = target->find(run);
                if (ordered && mayArrive) {
                    ordered->startOutcomeUnknown = true;
                    ordered->startUnansweredSince = sentAt;
                }
                // A life that starts now can't have the run either.
                if (ordered && !mayArrive && !ordered->startOutcomeUnknown && !ordered->reportedRunning)
                    ordered->token = {};
                if (mayArrive) {
                    LC_INFO(Worker,
                        "event=start-unanswered run=" << runName(run) << " worker=" << id.value()
                                                      << " token=" << token.value
                                                      << " reason=" << Common::errorName(answer.reason().code));
                    target->callsUnderWay.startUnanswered(run.task, sentAt);
                    m_hooks.startUnanswered();
                }
                m_runtime.schedule(m_settings.orderRetry, again);
                return;
            }
            if (token != target->token)
                return;
            if (answer->clock)
                target->lease().synchronizeClock(*answer->clock, m_runtime.now());
            if (answer->verdict != OrderVerdict::Fenced)
                answered(*answer);
            else if (callToken == link(*target).tokenFor(*target))
                m_hooks.fenced();
            else
                m_runtime.schedule(m_settings.orderRetry, again);
        }));
}

bool CellWorkers::needsProbe(const CellWorker& worker, const RunAllocation& allocation) const
{
    const Common::Duration longest
        = allocation.longRunning ? m_settings.answerAgeAtLongRunningStart : m_settings.answerAgeAtStart;
    const auto found = m_links.find(worker.id());
    return found == m_links.end() || !found->second.answeredAt
        || m_runtime.suspendAwareNow() - *found->second.answeredAt > longest;
}

/// Calls `start` once the worker has answered, or has left a probe unanswered.
void CellWorkers::startAfterProbe(const CellWorker& worker, std::function<void()> start)
{
    Link& state = link(worker);
    state.waitingStarts.push_back(std::move(start));
    if (state.probeWindow)
        return;
    probe(worker);
}

/// Sends a poll that returns at once, beside one that may be open: it changes nothing, also if it is carried out late.
void CellWorkers::probe(const CellWorker& worker)
{
    const auto window = std::make_shared<const AnswerWindow>(m_runtime, m_settings.probeTimeout);
    link(worker).probeWindow = window;
    WorkerOrders::PollRequest request;
    request.token = link(worker).tokenFor(worker);
    m_orders.pollRuns(targetOf(worker), request,
        m_lifetime.guard([this, id = worker.id(), token = worker.token](const Common::Result<RunReport>& report) {
            CellWorker* const probed = find(id);
            if (m_closed || !probed || !report || probed->token != token)
                return;
            // Zero if the worker doesn't tell its life.
            const int64_t startedAt = report->startedAtMilliseconds;
            if (startedAt == 0 || startedAt == probed->startedAtMilliseconds)
                noteAnswer(*probed);
        }));
    m_runtime.schedule(m_settings.probeTimeout, m_lifetime.guard([this, id = worker.id(), window] {
        CellWorker* const probed = find(id);
        if (m_closed || !probed || link(*probed).probeWindow != window)
            return;
        // Otherwise the answer may wait to be read, as this process is late.
        if (window->wasRead())
            onProbeOverdue(*probed);
        else
            probe(*probed);
    }));
}

/// What took this worker may have taken others, to which its tasks would be ordered next.
void CellWorkers::onProbeOverdue(CellWorker& worker)
{
    worker.probeOverdue = true;
    LC_INFO(Worker,
        "event=probe-overdue worker=" << worker.id().value() << " starts=" << link(worker).waitingStarts.size()
                                      << " unheard-ms="
                                      << (m_runtime.now() - worker.lastReportAt) / std::chrono::milliseconds(1));
    for (const auto& [id, other] : m_workers) {
        if (other->allocations().empty() || other->probeOverdue)
            pollSoon(id);
    }
    continueStarts(worker.id());
}

void CellWorkers::noteAnswer(CellWorker& worker)
{
    worker.probeOverdue = false;
    link(worker).answeredAt = m_runtime.suspendAwareNow();
    continueStarts(worker.id());
}

void CellWorkers::continueStarts(const Common::WorkerId& id)
{
    Link& state = m_links[id];
    state.probeWindow.reset();
    for (const std::function<void()>& start : std::exchange(state.waitingStarts, {}))
        start();
}

void CellWorkers::stop(CellWorker& worker, const RunKey& run, const std::function<void(OrderAnswer)>& answered)
{
    if (RunAllocation* const allocation = worker.find(run))
        allocation->stopping = true;
    sendStop(worker.id(), run, answered);
}

void CellWorkers::sendStop(
    const Common::WorkerId& id, const RunKey& run, const std::function<void(OrderAnswer)>& answered)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker || !worker->find(run))
        return;
    const FencingToken callToken = link(*worker).tokenFor(*worker);
    m_orders.stop(targetOf(*worker), callToken, run.task, run.attempt,
        m_lifetime.guard(
            [this, id, run, answered, callToken, token = worker->token](const Common::Result<OrderAnswer>& answer) {
                const CellWorker* const target = find(id);
                // The present life has its own stop order; only its answer shows that this life refuses the attempt.
                if (m_closed || !target || token != target->token)
                    return;
                const bool hadLastToken = callToken == link(*target).tokenFor(*target);
                // An unhealthy worker has done nothing.
                if (!answer || answer->verdict == OrderVerdict::Unhealthy
                    || (answer->verdict == OrderVerdict::Fenced && !hadLastToken)) {
                    m_runtime.schedule(m_settings.orderRetry,
                        m_lifetime.guard([this, id, run, answered] { sendStop(id, run, answered); }));
                    return;
                }
                if (answer->verdict == OrderVerdict::Fenced) {
                    m_hooks.fenced();
                    return;
                }
                answered(*answer);
                pollSoon(id);
            }));
}

void CellWorkers::pace(CellWorker& worker, const RunKey& run, uint32_t percent)
{
    RunAllocation* const allocation = worker.find(run);
    if (!allocation || m_closed)
        return;
    const uint32_t before = std::exchange(allocation->pace, percent);
    m_orders.pace(targetOf(worker), link(worker).tokenFor(worker), run.task, run.attempt, percent,
        m_lifetime.guard([this, id = worker.id(), run, before](const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            RunAllocation* const paced = target ? target->find(run) : nullptr;
            // The worker's next report causes the pace to be sent again.
            if (paced && (!answer || answer->verdict == OrderVerdict::Fenced))
                paced->pace = before;
        }));
}

} // namespace Cells
