// Computes arrival times from the delay and byte rate of a link.
#include "StandIns/LinkShaper.h"

#include <algorithm>

namespace StandIns {

void LinkShaper::configure(Common::Duration delay, int64_t bytesPerSecond)
{
    m_delay = delay;
    m_bytesPerSecond = bytesPerSecond;
    m_sentAt = {};
}

Common::MonotonicTime LinkShaper::admit(Common::MonotonicTime now, size_t bytes)
{
    constexpr int64_t microsecondsPerSecond = 1'000'000;
    m_bytes += bytes;
    m_sentAt = std::max(m_sentAt, now);
    if (m_bytesPerSecond > 0)
        m_sentAt += Common::Duration(static_cast<int64_t>(bytes) * microsecondsPerSecond / m_bytesPerSecond);
    return m_sentAt + m_delay;
}

} // namespace StandIns
