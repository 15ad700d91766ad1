// Estimates of worker clocks and of the ends of leases.
#include "Cells/WorkerLease.h"

#include "Cells/CellSettings.h"

#include <algorithm>

namespace Cells {

namespace {

    std::chrono::milliseconds wholeMilliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

} // namespace

Common::Duration WorkerLease::onSlowestClock(Common::Duration lease)
{
    return Common::Duration(static_cast<Common::Duration::rep>(static_cast<double>(lease.count()) * (1 + clockSlack)));
}

WorkerLease::WorkerLease(const CellSettings& settings)
    : m_longestLease(onSlowestClock(settings.longestLease))
    , m_longestCallDelay(settings.longestCallDelay)
    , m_longestPoll(settings.pollWait + settings.answerTimeout + settings.longestExtraTime)
{
}

void WorkerLease::synchronizeClock(Common::WorkerTime clock, Common::MonotonicTime now)
{
    // Answers may arrive out of order; an older clock value is ignored.
    if (m_clock && clock < *m_clock)
        return;
    m_clock = clock;
    m_clockReadAt = now;
}

Common::WorkerTime WorkerLease::clockAt(Common::MonotonicTime now) const
{
    // Before the reading, a clock that isn't slow was the furthest behind.
    const double rate = now < m_clockReadAt ? 1 : 1 - clockSlack;
    const double passed = static_cast<double>((now - m_clockReadAt).count()) * rate;
    return m_clock.value_or(Common::WorkerTime {})
        + wholeMilliseconds(Common::Duration(static_cast<Common::Duration::rep>(passed)));
}

Common::WorkerTime WorkerLease::grant(Common::Duration length, Common::MonotonicTime now)
{
    const Common::WorkerTime until = clockAt(now) + wholeMilliseconds(length);
    m_grantedUntil = std::max(m_grantedUntil, until);
    m_grantedAt = now;
    return until;
}

void WorkerLease::startAnew()
{
    if (m_grantedAt != Common::MonotonicTime {})
        expectLateCallsUntil(m_grantedAt + m_longestCallDelay);
    m_clock.reset();
    m_grantedUntil = {};
    m_earlyLeasesEnd = {};
}

void WorkerLease::startedAnewAt(Common::MonotonicTime time)
{
    expectLateCallsUntil(time + m_longestPoll + m_longestCallDelay);
}

void WorkerLease::expectLateCallsUntil(Common::MonotonicTime time) { m_lateCallsEnd = std::max(m_lateCallsEnd, time); }

void WorkerLease::answered(Common::MonotonicTime now)
{
    if (m_lateCallsEnd != Common::MonotonicTime {})
        m_earlyLeasesEnd = std::min(now, m_lateCallsEnd) + m_longestLease;
}

bool WorkerLease::hasExpired(Common::MonotonicTime now) const
{
    if (now < m_earlyLeasesEnd)
        return false;
    if (!m_clock)
        return m_grantedUntil == Common::WorkerTime {};
    return clockAt(now) > m_grantedUntil;
}

Common::MonotonicTime WorkerLease::lateLeasesEnd() const
{
    return m_lateCallsEnd == Common::MonotonicTime {} ? m_lateCallsEnd : m_lateCallsEnd + m_longestLease;
}

Common::MonotonicTime WorkerLease::unknownLeasesEnd() const
{
    return std::max(lateLeasesEnd(), lateLeaseEnd(m_grantedAt));
}

bool WorkerLease::mayBeUnderWay(Common::MonotonicTime sentAt, Common::MonotonicTime now) const
{
    return now - sentAt <= m_longestCallDelay;
}

} // namespace Cells
