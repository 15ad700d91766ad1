// Implements the token bucket of retries.
#include "Policy/RetryBudget.h"

#include <algorithm>

namespace Policy {

RetryBudget::RetryBudget(uint32_t percent, Settings settings)
    : m_percent(percent)
    , m_settings(settings)
    , m_tokens(settings.initialTokens)
{
}

RetryBudget::RetryBudget(uint32_t percent)
    : RetryBudget(percent, Settings {})
{
}

void RetryBudget::onSuccess() { m_tokens = std::min(m_settings.capacity, m_tokens + m_percent / 100.0); }

bool RetryBudget::take(Common::MonotonicTime now)
{
    if (m_percent == 0)
        return false;
    if (m_started) {
        const double passed = std::chrono::duration<double>(now - m_trickledTo).count();
        m_tokens = std::min(m_settings.capacity, m_tokens + passed * m_settings.tricklePerSecond);
    }
    m_started = true;
    m_trickledTo = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace Policy
