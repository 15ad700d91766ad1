// The decaying counts behind the drain rate.
#include "Policy/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr double windowSeconds = 1.0;
    constexpr double shortestMeasureSeconds = 0.05;
    constexpr Common::Duration longestUnused = std::chrono::seconds(10);

} // namespace

void DrainRate::setBacklogged(bool backlogged, Common::MonotonicTime now)
{
    if (backlogged == m_backlogged)
        return;
    advance(now);
    m_backlogged = backlogged;
}

void DrainRate::onDispatched(Common::MonotonicTime now)
{
    advance(now);
    // A request dispatched without any backlog before it says nothing about the rate.
    if (m_backlogged && m_backloggedSeconds > 0) {
        m_dispatches += 1;
        m_quietSeconds = 0;
    }
}

void DrainRate::undoDispatch()
{
    if (m_dispatches >= 1)
        m_dispatches -= 1;
}

std::optional<double> DrainRate::perSecond(Common::MonotonicTime now) const
{
    if (!m_backlogged && now - m_advancedTo > longestUnused)
        return std::nullopt;
    const double waiting = m_backlogged ? Seconds(now - m_advancedTo).count() : 0;
    const double seconds = m_backloggedSeconds + waiting;
    if (seconds < shortestMeasureSeconds)
        return std::nullopt;
    if (m_dispatches >= 1)
        return m_dispatches / seconds;
    // Assumes that the next dispatch comes now, so that a pause shorter than one run isn't taken for a standstill.
    return std::max(m_dispatches / seconds, 1 / std::max(m_quietSeconds + waiting, shortestMeasureSeconds));
}

void DrainRate::advance(Common::MonotonicTime now)
{
    const Common::Duration passed = now - m_advancedTo;
    m_advancedTo = now;
    if (!m_backlogged) {
        if (passed > longestUnused) {
            m_dispatches = 0;
            m_backloggedSeconds = 0;
            m_quietSeconds = 0;
        }
        return;
    }
    if (passed <= Common::Duration::zero())
        return;
    const double seconds = Seconds(passed).count();
    const double kept = std::exp(-seconds / windowSeconds);
    m_dispatches *= kept;
    m_backloggedSeconds = m_backloggedSeconds * kept + seconds;
    m_quietSeconds += seconds;
}

} // namespace Policy
