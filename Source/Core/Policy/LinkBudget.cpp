// Implements the token bucket of the link between regions.
#include "Policy/LinkBudget.h"

#include <algorithm>

namespace Policy {

LinkBudget::LinkBudget(double bytesPerSecond, double burstBytes)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burst(burstBytes)
    , m_tokens(burstBytes)
{
}

void LinkBudget::setRate(double bytesPerSecond, Common::MonotonicTime now)
{
    m_tokens = tokens(now);
    m_filledAt = now;
    m_started = true;
    m_bytesPerSecond = bytesPerSecond;
}

bool LinkBudget::take(int64_t bytes, Common::MonotonicTime now)
{
    m_tokens = tokens(now);
    m_filledAt = now;
    m_started = true;
    if (m_tokens < static_cast<double>(bytes))
        return false;
    m_tokens -= static_cast<double>(bytes);
    return true;
}

int64_t LinkBudget::available(Common::MonotonicTime now) const { return static_cast<int64_t>(tokens(now)); }

double LinkBudget::tokens(Common::MonotonicTime now) const
{
    if (!m_started)
        return m_tokens;
    const double passed = std::chrono::duration<double>(now - m_filledAt).count();
    return std::min(m_burst, m_tokens + passed * m_bytesPerSecond);
}

} // namespace Policy
