// The ownership protocol of one worker on the daemon's side.
#include "Membership/WorkerOwnership.h"

#include "Scheduler/WorkerReport.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Membership {

namespace {

    bool isUnexpired(const Scheduler::WorkerClaim& claim, Common::WorkerTime clock) { return clock < claim.expiresAt; }

    bool outranks(const Scheduler::WorkerClaim& left, const Scheduler::WorkerClaim& right)
    {
        return std::tie(left.term, left.daemon) > std::tie(right.term, right.daemon);
    }

    std::optional<Scheduler::WorkerClaim> effectiveClaim(const Scheduler::WorkerReport& report)
    {
        std::optional<Scheduler::WorkerClaim> best;
        for (const Scheduler::WorkerClaim& claim : report.claims) {
            if (isUnexpired(claim, report.clock) && (!best || outranks(claim, *best)))
                best = claim;
        }
        return best;
    }

    bool hasClaimOf(const Common::DaemonId& daemon, const Scheduler::WorkerReport& report)
    {
        return std::any_of(report.claims.begin(), report.claims.end(), [&](const Scheduler::WorkerClaim& claim) {
            return claim.daemon == daemon && isUnexpired(claim, report.clock);
        });
    }

} // namespace

WorkerOwnership::WorkerOwnership(Common::DaemonId self, const OwnershipSettings& settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

bool WorkerOwnership::setWanted(bool wanted)
{
    if (wanted) {
        if (m_state == State::Claiming || isOwner())
            return false;
        endOwnership(State::Claiming);
        if (hasReport())
            chooseTerm();
        return false;
    }
    if (m_state == State::Unclaimed || m_state == State::Yielding)
        return false;
    return endOwnership(m_claimSent ? State::Yielding : State::Unclaimed) == Outcome::Lost;
}

WorkerOwnership::Ticket WorkerOwnership::beginSync(Common::MonotonicTime now)
{
    Ticket ticket;
    ticket.sequence = ++m_lastSent;
    ticket.sentAt = now;
    ticket.withdraw = m_state == State::Yielding;
    if (m_state == State::Claiming || m_state == State::Owned)
        ticket.claim = m_term;
    m_claimSent = m_claimSent || ticket.claim;
    return ticket;
}

WorkerOwnership::Outcome WorkerOwnership::handleReport(const Ticket& ticket, const Scheduler::WorkerReport& report)
{
    if (isStale(ticket, report))
        return Outcome::Ignored;
    m_lastHandled = ticket.sequence;
    const bool rebooted = report.boot != m_boot;
    const Common::WorkerTime previousClock = std::exchange(m_lastClock, report.clock);
    m_boot = report.boot;
    updateHighestTerm(report);

    const std::optional<Scheduler::WorkerClaim> effective = effectiveClaim(report);
    const bool isOurs = effective && effective->daemon == m_self && m_term && effective->term == *m_term;
    m_foreignClaim = effective && effective->daemon != m_self ? effective : std::nullopt;

    switch (m_state) {
    case State::Unclaimed:
        return Outcome::Noted;
    case State::Yielding:
        if (!hasClaimOf(m_self, report))
            endOwnership(State::Unclaimed);
        return Outcome::Noted;
    case State::Claiming:
    case State::Owned:
    case State::Displaced:
        break;
    }
    if (isOurs && !rebooted && m_state != State::Displaced)
        return handleCounting(ticket, previousClock, effective->madeAt);
    // Guard CLAIM_CHECK: authority is no longer extended. The successor waits until the rest of it has ended.
    if (m_foreignClaim && !rebooted && isOwner() && report.clock < m_startBy) {
        m_state = State::Displaced;
        m_waitFrom.reset();
        return Outcome::Renewed;
    }
    // The claim expired or was lost with a reboot, or the successor's wait is over: claim again, under a term above all
    // reported ones.
    const Outcome outcome = endOwnership(State::Claiming);
    chooseTerm();
    return outcome;
}

bool WorkerOwnership::expire(Common::MonotonicTime now)
{
    if (!isOwner() || now < m_authorityEndsAt)
        return false;
    // The worker may still hold the claim; the wait restarts with the next report that shows it.
    endOwnership(State::Claiming);
    return true;
}

void WorkerOwnership::abandon()
{
    if (m_state == State::Yielding)
        endOwnership(State::Unclaimed);
}

bool WorkerOwnership::needsSyncNow() const
{
    if (m_state == State::Yielding)
        return true;
    return m_state == State::Claiming && m_term && !m_waitFrom;
}

std::optional<std::chrono::milliseconds> WorkerOwnership::remainingWait() const
{
    if (m_state != State::Claiming || !m_waitFrom)
        return std::nullopt;
    const Common::WorkerTime end = *m_waitFrom + m_settings.startWindow;
    return std::chrono::milliseconds(end.milliseconds - m_lastClock.milliseconds);
}

bool WorkerOwnership::isStale(const Ticket& ticket, const Scheduler::WorkerReport& report) const
{
    if (ticket.sequence <= m_lastHandled)
        return true;
    return report.boot == m_boot && report.clock < m_lastClock;
}

void WorkerOwnership::updateHighestTerm(const Scheduler::WorkerReport& report)
{
    for (const Scheduler::WorkerClaim& claim : report.claims)
        m_highestTerm = std::max(m_highestTerm, claim.term);
}

WorkerOwnership::Outcome WorkerOwnership::handleCounting(
    const Ticket& ticket, Common::WorkerTime previousClock, Common::WorkerTime madeAt)
{
    // Guard CONTINUITY: in a gap of a start window or more another daemon may have claimed, owned and withdrawn.
    const bool hasGap = m_lastClock >= previousClock + m_settings.startWindow;
    // Guard IDENTITY: the claim was gone in between, for example after a late withdrawal, and another one was
    // effective.
    const bool isRemade = madeAt != m_madeAt;
    Outcome outcome = Outcome::Noted;
    if (!m_waitFrom || hasGap || isRemade) {
        outcome = endOwnership(State::Claiming);
        m_waitFrom = m_lastClock;
        m_madeAt = madeAt;
    }
    const auto window = std::chrono::duration_cast<Common::Duration>(m_settings.startWindow);
    m_startBy = m_lastClock + m_settings.startWindow;
    m_authorityEndsAt = ticket.sentAt + window * (1000 - m_settings.clockRateMarginPerMille) / 1000;
    if (m_state == State::Owned)
        return Outcome::Renewed;
    // Guard WAIT: from here on the worker refuses starts of earlier owners, and the report lists the tasks they
    // started.
    if (m_lastClock < *m_waitFrom + m_settings.startWindow)
        return outcome;
    m_state = State::Owned;
    return Outcome::Owned;
}

WorkerOwnership::Outcome WorkerOwnership::endOwnership(State next)
{
    const bool wasOwned = isOwner();
    m_state = next;
    m_waitFrom.reset();
    if (next == State::Unclaimed) {
        m_term.reset();
        m_claimSent = false;
    }
    return wasOwned ? Outcome::Lost : Outcome::Noted;
}

void WorkerOwnership::chooseTerm()
{
    // Above all reported terms; the worker's clock makes terms grow even after all claims have expired.
    m_highestTerm = Common::ClaimTerm { std::max(m_highestTerm.value + 1, m_lastClock.milliseconds) };
    m_term = m_highestTerm;
}

} // namespace Membership
