// Multiplicative decrease, additive increase.
#include "Policy/BackfillPacer.h"

#include <algorithm>

namespace Policy {

namespace {

    constexpr uint32_t fullPace = 100;
    /// Below this share a run makes no progress worth its disturbance.
    constexpr uint32_t smallestPace = 15;

} // namespace

BackfillPacer::BackfillPacer()
    : BackfillPacer(Settings {})
{
}

BackfillPacer::BackfillPacer(Settings settings)
    : m_settings(settings)
{
}

void BackfillPacer::observe(double tailRatio, Common::MonoTime now)
{
    if (tailRatio > m_settings.pauseAbove) {
        m_pace = 0;
        m_changedAt = now;
        return;
    }
    if (tailRatio > m_settings.slowAbove) {
        m_pace = m_pace / 2 < smallestPace ? 0 : m_pace / 2;
        m_changedAt = now;
        return;
    }
    if (tailRatio > m_settings.easeBelow || now - m_changedAt < m_settings.easeInterval)
        return;
    m_pace = std::min(fullPace, std::max(m_pace + m_settings.easeStep, smallestPace));
    m_changedAt = now;
}

} // namespace Policy
