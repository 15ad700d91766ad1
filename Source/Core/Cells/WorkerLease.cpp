// Estimates of worker clocks and lease expiry.
#include "Cells/WorkerLease.h"

#include <algorithm>

namespace Cells {

namespace {

    std::chrono::milliseconds wholeMilliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

} // namespace

void WorkerLease::synchronizeClock(Common::WorkerTime clock, Common::MonotonicTime now)
{
    // Answers may arrive out of order; an older clock value is ignored.
    if (m_clock && clock < *m_clock)
        return;
    m_clock = clock;
    m_clockReadAt = now;
}

void WorkerLease::reset(Common::Duration longestLease, Common::MonotonicTime now)
{
    m_clock.reset();
    m_grantedUntil = {};
    m_notBefore = now
        + Common::Duration(
            static_cast<Common::Duration::rep>(static_cast<double>(longestLease.count()) * (1 + clockSlack)));
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
    return until;
}

bool WorkerLease::hasExpired(Common::MonotonicTime now) const
{
    if (now < m_notBefore)
        return false;
    if (!m_clock)
        return m_grantedUntil == Common::WorkerTime {};
    return clockAt(now) > m_grantedUntil;
}

} // namespace Cells
