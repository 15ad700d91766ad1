// Hybrid logical clock.
#include "Common/HybridClock.h"

#include <algorithm>

namespace Common {

HybridTime HybridClock::stamp(int64_t wallMilliseconds)
{
    if (wallMilliseconds > m_last.wallMilliseconds)
        m_last = HybridTime { wallMilliseconds, 0 };
    else
        ++m_last.counter;
    return m_last;
}

void HybridClock::receive(HybridTime remote) { m_last = std::max(m_last, remote); }

} // namespace Common
