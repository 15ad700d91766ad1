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
    constexpr Common::Duration longestExtraTime = std::chrono::seconds(5);

    /// Whether an answer to a call that was sent in that life of the worker says anything about its present life.
    bool isPresentLife(const CellWorker& worker, int64_t startedAtMilliseconds)
    {
        return startedAtMilliseconds == 0 || startedAtMilliseconds == worker.startedAtMilliseconds;
    }

    WorkerTarget targetOf(const CellWorker& worker) { return WorkerTarget { worker.id(), worker.entry().address }; }

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
    /// How much longer than usual answers may take, since this process was too late to tell whether one had arrived.
    Common::Duration extraTime {};
    /// The wait of the open poll, and when it was sent on the clock that includes suspended time.
    Common::Duration wait {};
    Common::MonotonicTime askedAt;
    /// The last polls in a row that the worker has left unanswered.
    uint32_t unansweredPolls = 0;
    /// A poll through another host is under way, and whether the last one was answered. Only then may the next one
    /// renew the lease: that of a worker which nobody reaches must be able to expire.
    bool askingThroughHost = false;
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

CellWorkers::CellWorkers(Scheduler::Runtime& runtime, WorkerOrders& orders, FencingToken token,
    const CellSettings& settings, Common::Duration inheritedAuthority, Hooks hooks)
    : m_runtime(runtime)
    , m_orders(orders)
    , m_token(token)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_inheritedLeasesEnd(runtime.now() + inheritedAuthority + longestInheritedLease())
{
}

CellWorkers::~CellWorkers() = default;

/// Duration of a run lease on the slowest worker clock.
Common::Duration CellWorkers::longestInheritedLease() const
{
    return Common::Duration(static_cast<Common::Duration::rep>(
        static_cast<double>(m_settings.runLease.count()) * (1 + WorkerLease::clockSlack)));
}

void CellWorkers::endInheritedAuthority()
{
    m_inheritedLeasesEnd = std::min(m_inheritedLeasesEnd, m_runtime.now() + longestInheritedLease());
}

CellWorkers::Link& CellWorkers::link(const CellWorker& worker) { return m_links[worker.id()]; }

CellWorker* CellWorkers::find(const Common::WorkerId& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

void CellWorkers::add(const WorkerEntry& entry, bool listed)
{
    CellWorker* worker = find(entry.id);
    if (!worker) {
        worker = m_workers.emplace(entry.id, std::make_unique<CellWorker>(entry)).first->second.get();
        worker->listed = listed;
        if (entry.draining)
            worker->drainingSince = m_runtime.now();
        schedulePoll(entry.id, Common::Duration::zero());
        return;
    }
    const bool rebooted = entry.startedAtMilliseconds != 0 && worker->startedAtMilliseconds != 0
        && entry.startedAtMilliseconds > worker->startedAtMilliseconds;
    if (entry.draining && !worker->entry().draining)
        worker->drainingSince = m_runtime.now();
    worker->update(entry);
    worker->listed = listed;
    worker->unlisted = false;
    if (rebooted && acceptRebirth(*worker, entry.startedAtMilliseconds))
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
            if (acceptRebirth(*reborn, found->second.rebirth->startedAtMilliseconds))
                pollSoon(id);
        }));
        return false;
    }
    worker.startedAtMilliseconds = state.rebirth->startedAtMilliseconds;
    state.rebirth.reset();
    worker.lease().reset(m_settings.longestLease, m_runtime.now());
    m_hooks.runsCleared(worker, true);
    return true;
}

void CellWorkers::unlist(const Common::WorkerId& id)
{
    CellWorker* const worker = find(id);
    if (!worker)
        return;
    worker->listed = false;
    worker->unlisted = true;
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

void CellWorkers::poll(const Common::WorkerId& id)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker || link(*worker).polling)
        return;
    m_hooks.acknowledge(*worker);
    WorkerOrders::PollRequest request;
    request.token = m_token;
    Link& state = link(*worker);
    const bool mayAcknowledge = mayAcknowledgeTo(*worker, state);
    request.acknowledgedThrough = mayAcknowledge ? worker->acknowledgedThrough : 0;
    const bool occupied = !worker->allocations().empty();
    // The lease of an unreachable worker must be able to expire, so polls don't renew it until the worker answers.
    if (occupied && worker->reachable && worker->lease().isClockKnown() && m_hooks.mayGrant())
        request.leaseUntil = worker->lease().grant(m_settings.runLease, m_runtime.now());
    const bool hasUnacknowledgedEnds = !worker->pendingEnds.empty() || (state.listsEnds && !mayAcknowledge);
    if (occupied && worker->reachable && !hasUnacknowledgedEnds)
        request.wait = m_hooks.shouldPollFrequently(*worker) ? m_settings.frequentPollWait : m_settings.pollWait;
    request.extraTime = state.extraTime;
    state.polling = true;
    state.wait = request.wait;
    state.window = worker->reachable
        ? nullptr
        : std::make_shared<AnswerWindow>(m_runtime, m_settings.answerTimeout + state.extraTime);
    const Common::MonotonicTime askedAt = m_runtime.now();
    state.askedAt = m_runtime.suspendAwareNow();
    m_orders.pollRuns(targetOf(*worker), request,
        m_lifetime.guard(
            [this, id, askedAt](const Common::Result<RunReport>& report) { onPollAnswer(id, askedAt, report); }));
}

/// A worker numbers its ends from 1 again when it is started anew, so a number that belongs to its former life would
/// make it forget ends that nobody has read. So ends are acknowledged only right after a report that lists ends: too
/// soon for the worker to have been started anew, to have got a task and to have ended it.
bool CellWorkers::mayAcknowledgeTo(const CellWorker& worker, const Link& link) const
{
    return worker.reachable && link.listsEnds && link.heardAt
        && m_runtime.suspendAwareNow() - *link.heardAt <= m_settings.answerTimeout;
}

void CellWorkers::onPollAnswer(
    const Common::WorkerId& id, Common::MonotonicTime askedAt, const Common::Result<RunReport>& report)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker)
        return;
    link(*worker).polling = false;
    if (!report && report.reason().code == Common::ErrorCode::NotOwner) {
        m_hooks.fenced();
        return;
    }
    if (report)
        onReport(*worker, *report, askedAt);
    else
        onPollFailure(*worker, report.reason(), askedAt);
    if (m_closed || dropIfGone(*worker))
        return;
    schedulePoll(id, report ? nextPollDelay(*worker) : link(*worker).retryPause);
}

void CellWorkers::onReport(CellWorker& worker, const RunReport& report, Common::MonotonicTime askedAt)
{
    Link& state = link(worker);
    if (state.silenceLogged)
        LC_INFO(Worker, "event=worker-heard worker=" << worker.id().value());
    state.silenceLogged = false;
    state.latenessLogged = false;
    state.retryPause = {};
    state.unansweredPolls = 0;
    state.heardThroughHost = false;
    if (m_runtime.now() - askedAt < state.wait + m_settings.answerTimeout / 2)
        state.extraTime = {};
    if (!acceptReport(worker, report))
        return;
    worker.reachable = true;
    state.listsEnds = !report.ended.empty();
    state.heardAt = m_runtime.suspendAwareNow();
    if (*state.heardAt - state.askedAt > state.wait + m_settings.answerTimeout)
        state.heardAt.reset();
    m_hooks.report(worker, report, askedAt);
    worker.contacted = true;
}

/// Takes over what the report says of the worker's life and clock. False if it is older than the life that is known.
bool CellWorkers::acceptReport(CellWorker& worker, const RunReport& report)
{
    const bool rebooted = report.startedAtMilliseconds != 0 && worker.startedAtMilliseconds != 0
        && report.startedAtMilliseconds != worker.startedAtMilliseconds;
    // A delayed answer from before the reboot says nothing about the current state.
    if (rebooted && report.startedAtMilliseconds < worker.startedAtMilliseconds)
        return false;
    if (rebooted
        && (!acceptRebirth(worker, report.startedAtMilliseconds)
            || report.startedAtMilliseconds != worker.startedAtMilliseconds))
        return false;
    if (report.startedAtMilliseconds != 0)
        worker.startedAtMilliseconds = report.startedAtMilliseconds;
    worker.lease().synchronizeClock(report.clock, m_runtime.now());
    // An earlier owner may have renewed the lease just before.
    if (!worker.contacted && m_runtime.now() < m_inheritedLeasesEnd)
        worker.lease().grant(m_settings.runLease, m_runtime.now());
    worker.lastReportAt = m_runtime.now();
    return true;
}

/// Asks another host for a report of the worker, which may have runs.
void CellWorkers::askThroughHost(CellWorker& worker)
{
    Link& state = link(worker);
    const bool occupied = !worker.allocations().empty();
    if (state.askingThroughHost || (!occupied && worker.contacted))
        return;
    PollForHost poll { WorkerTarget { worker.id(), worker.entry().address }, m_token, {} };
    const bool mayGrant = state.heardThroughHost && m_hooks.mayGrant() && worker.lease().isClockKnown();
    if (occupied && mayGrant)
        poll.leaseUntil = worker.lease().grant(m_settings.runLease, m_runtime.now());
    state.askingThroughHost = true;
    const bool asked = m_hooks.pollThroughHost(poll,
        m_lifetime.guard([this, id = worker.id(), askedAt = m_runtime.now()](const Common::Result<RunReport>& report) {
            CellWorker* const silent = find(id);
            if (!m_closed && silent)
                onAnswerThroughHost(*silent, askedAt, report);
        }));
    if (!asked)
        state.askingThroughHost = state.heardThroughHost = false;
}

/// The worker stays unreachable for orders, and its ends aren't acknowledged: the next poll is too far away for that.
void CellWorkers::onAnswerThroughHost(
    CellWorker& worker, Common::MonotonicTime askedAt, const Common::Result<RunReport>& report)
{
    Link& state = link(worker);
    state.askingThroughHost = false;
    if (!report && report.reason().code == Common::ErrorCode::NotOwner) {
        m_hooks.fenced();
        return;
    }
    // A poll of this host was answered meanwhile.
    if (worker.reachable || worker.lastReportAt > askedAt)
        return;
    if (!report || !acceptReport(worker, *report)) {
        state.heardThroughHost = false;
        return;
    }
    if (!std::exchange(state.heardThroughHost, true)) {
        LC_INFO(Worker,
            "event=worker-heard-through-host worker=" << worker.id().value() << " runs=" << report->running.size()
                                                      << " ends=" << report->ended.size());
    }
    state.unansweredPolls = 0;
    m_hooks.report(worker, *report, askedAt);
    worker.contacted = true;
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
                                                   << " token=" << m_token.value);
    }
    if (!worker.allocations().empty())
        m_hooks.runsCleared(worker, false);
}

/// Has the ownership confirmed if the worker is idle unless a successor has taken the cell over.
void CellWorkers::confirmIdle(const CellWorker& worker)
{
    if (isProvablyIdle(worker) || !isIdleAfter(worker, m_runtime.now()))
        return;
    m_hooks.confirmOwnership(m_lifetime.guard([this, id = worker.id()] {
        CellWorker* const silent = find(id);
        if (!m_closed && silent)
            clearIfIdle(*silent);
    }));
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
    state.extraTime
        = std::clamp(std::max(2 * state.extraTime, elapsed - state.wait), m_settings.answerTimeout, longestExtraTime);
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
    if (!worker.contacted && time < m_inheritedLeasesEnd)
        return false;
    if (!worker.lease().hasExpired(time))
        return false;
    // Nothing runs there any more, but runs may have ended well before, and a worker that lives reports them.
    const auto found = m_links.find(worker.id());
    return worker.unlisted || (found != m_links.end() && found->second.unansweredPolls >= silentPolls);
}

bool CellWorkers::dropIfGone(CellWorker& worker)
{
    if (worker.listed || worker.reachable || !worker.allocations().empty() || !isProvablyIdle(worker))
        return false;
    LC_INFO(Worker, "event=worker-gone worker=" << worker.id().value());
    const Common::WorkerId id = worker.id();
    m_hooks.runsCleared(worker, false);
    m_links.erase(id);
    m_workers.erase(id);
    m_hooks.dropped();
    return true;
}

Common::Duration CellWorkers::nextPollDelay(const CellWorker& worker) const
{
    const auto found = m_links.find(worker.id());
    if (found != m_links.end() && found->second.rebirth)
        return m_settings.orderRetry;
    if (!worker.pendingEnds.empty() || (found != m_links.end() && found->second.listsEnds))
        return m_settings.pollPauseAfterEnd;
    return worker.allocations().empty() ? m_settings.idlePollInterval : Common::Duration::zero();
}

void CellWorkers::start(CellWorker& worker, const RunOrder& order, const std::function<void(OrderAnswer)>& answered)
{
    sendStart(worker.id(), order, answered);
    // The next poll of an idle worker may be seconds away.
    schedulePoll(worker.id(), m_settings.frequentPollWait);
}

void CellWorkers::sendStart(
    const Common::WorkerId& id, const RunOrder& order, const std::function<void(OrderAnswer)>& answered)
{
    CellWorker* const worker = find(id);
    const RunKey run { order.task, order.attempt };
    if (m_closed || !worker)
        return;
    const RunAllocation* const allocation = worker->find(run);
    if (!allocation || allocation->reportedRunning || allocation->stopping)
        return;
    if (worker->entry().draining) {
        answered(OrderAnswer { OrderVerdict::Withdrawn, std::nullopt });
        return;
    }
    const auto again = m_lifetime.guard([this, id, order, answered] { sendStart(id, order, answered); });
    if (!m_hooks.mayGrant() || !worker->reachable || !worker->lease().isClockKnown()) {
        m_runtime.schedule(m_settings.orderRetry, again);
        return;
    }
    const Common::WorkerTime until = worker->lease().grant(m_settings.runLease, m_runtime.now());
    m_orders.start(targetOf(*worker), m_token, order, until,
        m_lifetime.guard([this, id, run, again, answered, sentAt = m_runtime.now(),
                             life = worker->startedAtMilliseconds](const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            if (m_closed || !target)
                return;
            if (!answer) {
                RunAllocation* const ordered = target->find(run);
                if (ordered && answer.reason().code != Common::ErrorCode::ConnectFailed) {
                    ordered->startOutcomeUnknown = true;
                    ordered->startUnansweredSince = sentAt;
                }
                m_runtime.schedule(m_settings.orderRetry, again);
                return;
            }
            if (answer->clock && isPresentLife(*target, life))
                target->lease().synchronizeClock(*answer->clock, m_runtime.now());
            if (answer->verdict == OrderVerdict::Fenced)
                m_hooks.fenced();
            else
                answered(*answer);
        }));
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
    const int64_t life = worker->startedAtMilliseconds;
    m_orders.stop(targetOf(*worker), m_token, run.task, run.attempt,
        m_lifetime.guard([this, id, run, answered, life](const Common::Result<OrderAnswer>& answer) {
            const CellWorker* const target = find(id);
            if (m_closed || !target)
                return;
            // An unhealthy worker has done nothing.
            if (!answer || answer->verdict == OrderVerdict::Unhealthy) {
                m_runtime.schedule(m_settings.orderRetry,
                    m_lifetime.guard([this, id, run, answered] { sendStop(id, run, answered); }));
                return;
            }
            if (answer->verdict == OrderVerdict::Fenced) {
                m_hooks.fenced();
                return;
            }
            // The present life has its own stop order; only its answer shows that this life refuses the attempt.
            if (!isPresentLife(*target, life))
                return;
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
    m_orders.pace(targetOf(worker), m_token, run.task, run.attempt, percent,
        m_lifetime.guard([this, id = worker.id(), run, before](const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            RunAllocation* const paced = target ? target->find(run) : nullptr;
            // The worker's next report causes the pace to be sent again.
            if (paced && !answer)
                paced->pace = before;
        }));
}

} // namespace Cells
