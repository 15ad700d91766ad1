// Looks and orders of one cell.
#include "Cells/CellWorkers.h"

#include "Common/Log.h"

#include <algorithm>

namespace Cells {

namespace {

    WorkerTarget targetOf(const CellWorker& worker) { return WorkerTarget { worker.id(), worker.entry().address }; }

} // namespace

/// The open look at one worker and the timer of the next.
struct CellWorkers::Link {
    bool looking = false;
    std::optional<Scheduler::TimerId> timer;
    Common::MonotonicTime timerDue;
    Common::Duration pause {};
    bool saidSilent = false;
};

CellWorkers::CellWorkers(Scheduler::Runtime& runtime, WorkerOrders& orders, FencingToken token,
    const CellSettings& settings, Common::Duration inheritedAuthority, Hooks hooks)
    : m_runtime(runtime)
    , m_orders(orders)
    , m_token(token)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_inheritedLeasesEnd(runtime.now() + inheritedAuthority + longestInherited())
{
}

CellWorkers::~CellWorkers() = default;

/// A run lease on the slowest clock.
Common::Duration CellWorkers::longestInherited() const
{
    return Common::Duration(static_cast<Common::Duration::rep>(
        static_cast<double>(m_settings.runLease.count()) * (1 + WorkerLease::clockSlack)));
}

void CellWorkers::endInheritedAuthority()
{
    m_inheritedLeasesEnd = std::min(m_inheritedLeasesEnd, m_runtime.now() + longestInherited());
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
        scheduleLook(entry.id, Common::Duration::zero());
        return;
    }
    const bool newLife = entry.bornMilliseconds != 0 && worker->bornMilliseconds != 0
        && entry.bornMilliseconds > worker->bornMilliseconds;
    if (entry.draining && !worker->entry().draining)
        worker->drainingSince = m_runtime.now();
    worker->update(entry);
    worker->listed = listed;
    if (!newLife)
        return;
    worker->bornMilliseconds = entry.bornMilliseconds;
    worker->lease().reset(m_settings.longestLease, m_runtime.now());
    worker->reachable = false;
    m_hooks.emptied(*worker, true);
    lookSoon(entry.id);
}

void CellWorkers::unlist(const Common::WorkerId& id)
{
    if (CellWorker* const worker = find(id))
        worker->listed = false;
}

void CellWorkers::lookSoon(const Common::WorkerId& id) { scheduleLook(id, Common::Duration::zero()); }

void CellWorkers::close() { m_closed = true; }

void CellWorkers::scheduleLook(const Common::WorkerId& id, Common::Duration delay)
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
        look(id);
    }));
}

void CellWorkers::look(const Common::WorkerId& id)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker || link(*worker).looking)
        return;
    m_hooks.acknowledge(*worker);
    WorkerOrders::HoldRequest request;
    request.token = m_token;
    // A worker that was silent may live anew, and its ends would be counted from 1 again.
    request.acknowledgedThrough = worker->reachable ? worker->acknowledgedThrough : 0;
    const bool occupied = !worker->occupants().empty();
    // A silent worker's lease must be able to pass, so it is only looked at until it answers.
    if (occupied && worker->reachable && worker->lease().clockKnown() && m_hooks.mayGrant())
        request.leaseUntil = worker->lease().grant(m_settings.runLease, m_runtime.now());
    if (occupied && worker->reachable && worker->pendingEnds.empty())
        request.wait = m_hooks.lookClosely(*worker) ? m_settings.closeLookWait : m_settings.lookWait;
    link(*worker).looking = true;
    const Common::MonotonicTime askedAt = m_runtime.now();
    m_orders.hold(targetOf(*worker), request,
        m_lifetime.guard(
            [this, id, askedAt](const Common::Result<RunReport>& report) { onLook(id, askedAt, report); }));
}

void CellWorkers::onLook(
    const Common::WorkerId& id, Common::MonotonicTime askedAt, const Common::Result<RunReport>& report)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker)
        return;
    link(*worker).looking = false;
    if (!report && report.reason().code == Common::ErrorCode::NotOwner) {
        m_hooks.fenced();
        return;
    }
    if (report)
        onReport(*worker, *report, askedAt);
    else
        onSilence(*worker, report.reason());
    if (m_closed || dropIfGone(*worker))
        return;
    scheduleLook(id, report ? nextLook(*worker) : link(*worker).pause);
}

void CellWorkers::onReport(CellWorker& worker, const RunReport& report, Common::MonotonicTime askedAt)
{
    Link& state = link(worker);
    if (state.saidSilent)
        LC_INFO(Worker, "event=worker-heard worker=" << worker.id().value());
    state.saidSilent = false;
    state.pause = {};
    const bool newLife = report.bornMilliseconds != 0 && worker.bornMilliseconds != 0
        && report.bornMilliseconds != worker.bornMilliseconds;
    // An answer of the life before that was overtaken says nothing of this one.
    if (newLife && report.bornMilliseconds < worker.bornMilliseconds)
        return;
    if (report.bornMilliseconds != 0)
        worker.bornMilliseconds = report.bornMilliseconds;
    if (newLife) {
        worker.lease().reset(m_settings.longestLease, m_runtime.now());
        m_hooks.emptied(worker, true);
    }
    worker.lease().heard(report.clock, m_runtime.now());
    worker.reachable = true;
    worker.lastHeard = m_runtime.now();
    m_hooks.report(worker, report, askedAt);
    worker.heardFrom = true;
}

void CellWorkers::onSilence(CellWorker& worker, const Common::Failure& reason)
{
    Link& state = link(worker);
    state.pause = std::clamp(2 * state.pause, m_settings.firstLookPause, m_settings.longestLookPause);
    worker.reachable = false;
    if (!std::exchange(state.saidSilent, true)) {
        LC_WARN(Worker,
            "event=worker-silent worker=" << worker.id().value() << " runs=" << worker.occupants().size()
                                          << " reason=" << Common::errorName(reason.code));
    }
    if (surelyEmpty(worker) && !worker.occupants().empty())
        m_hooks.emptied(worker, false);
}

bool CellWorkers::surelyEmpty(const CellWorker& worker) const
{
    if (!worker.heardFrom && m_runtime.now() < m_inheritedLeasesEnd)
        return false;
    return worker.lease().passed(m_runtime.now());
}

bool CellWorkers::dropIfGone(CellWorker& worker)
{
    if (worker.listed || worker.reachable || !worker.occupants().empty() || !surelyEmpty(worker))
        return false;
    LC_INFO(Worker, "event=worker-gone worker=" << worker.id().value());
    const Common::WorkerId id = worker.id();
    m_hooks.emptied(worker, false);
    m_links.erase(id);
    m_workers.erase(id);
    m_hooks.dropped();
    return true;
}

Common::Duration CellWorkers::nextLook(const CellWorker& worker) const
{
    if (!worker.pendingEnds.empty())
        return m_settings.endPause;
    return worker.occupants().empty() ? m_settings.idleLook : Common::Duration::zero();
}

void CellWorkers::start(CellWorker& worker, const RunOrder& order, const std::function<void(OrderAnswer)>& answered)
{
    startOnce(worker.id(), order, answered);
    // An idle worker's next look may be far away.
    scheduleLook(worker.id(), m_settings.closeLookWait);
}

void CellWorkers::startOnce(
    const Common::WorkerId& id, const RunOrder& order, const std::function<void(OrderAnswer)>& answered)
{
    CellWorker* const worker = find(id);
    const RunKey run { order.task, order.attempt };
    if (m_closed || !worker)
        return;
    const Occupant* const occupant = worker->find(run);
    if (!occupant || occupant->seen || occupant->stopping)
        return;
    const auto again = m_lifetime.guard([this, id, order, answered] { startOnce(id, order, answered); });
    if (!m_hooks.mayGrant() || !worker->reachable || !worker->lease().clockKnown()) {
        m_runtime.schedule(m_settings.orderRetry, again);
        return;
    }
    const Common::WorkerTime until = worker->lease().grant(m_settings.runLease, m_runtime.now());
    m_orders.start(targetOf(*worker), m_token, order, until,
        m_lifetime.guard([this, id, run, again, answered](const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            if (m_closed || !target)
                return;
            if (!answer) {
                Occupant* const ordered = target->find(run);
                if (ordered && answer.reason().code != Common::ErrorCode::ConnectFailed)
                    ordered->unclear = true;
                m_runtime.schedule(m_settings.orderRetry, again);
                return;
            }
            if (answer->clock)
                target->lease().heard(*answer->clock, m_runtime.now());
            if (answer->verdict == OrderVerdict::Fenced)
                m_hooks.fenced();
            else
                answered(*answer);
        }));
}

void CellWorkers::stop(CellWorker& worker, const RunKey& run, const std::function<void(OrderAnswer)>& answered)
{
    if (Occupant* const occupant = worker.find(run))
        occupant->stopping = true;
    stopOnce(worker.id(), run, answered);
}

void CellWorkers::stopOnce(
    const Common::WorkerId& id, const RunKey& run, const std::function<void(OrderAnswer)>& answered)
{
    CellWorker* const worker = find(id);
    if (m_closed || !worker || !worker->find(run))
        return;
    m_orders.stop(targetOf(*worker), m_token, run.task, run.attempt,
        m_lifetime.guard([this, id, run, answered](const Common::Result<OrderAnswer>& answer) {
            if (m_closed || !find(id))
                return;
            if (!answer) {
                m_runtime.schedule(m_settings.orderRetry,
                    m_lifetime.guard([this, id, run, answered] { stopOnce(id, run, answered); }));
                return;
            }
            if (answer->verdict == OrderVerdict::Fenced) {
                m_hooks.fenced();
                return;
            }
            answered(*answer);
            lookSoon(id);
        }));
}

void CellWorkers::pace(CellWorker& worker, const RunKey& run, uint32_t percent)
{
    Occupant* const occupant = worker.find(run);
    if (!occupant || m_closed)
        return;
    const uint32_t before = std::exchange(occupant->pace, percent);
    m_orders.pace(targetOf(worker), m_token, run.task, run.attempt, percent,
        m_lifetime.guard([this, id = worker.id(), run, before](const Common::Result<OrderAnswer>& answer) {
            CellWorker* const target = find(id);
            Occupant* const paced = target ? target->find(run) : nullptr;
            // The next report of the worker has it sent again.
            if (paced && !answer)
                paced->pace = before;
        }));
}

} // namespace Cells
