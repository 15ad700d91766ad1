// Limits the bytes that this daemon sends over the link between regions.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Policy {

/// A token bucket. Invariant: over any time t no more than bytesPerSecond * t + burst bytes are taken.
class LinkBudget {
public:
    LinkBudget(double bytesPerSecond, double burstBytes);

    void setRate(double bytesPerSecond, Common::MonotonicTime now);
    /// Takes the bytes and returns true, or takes none and returns false when fewer are available.
    bool take(int64_t bytes, Common::MonotonicTime now);
    /// Bytes that could be taken now.
    int64_t available(Common::MonotonicTime now) const;

private:
    double tokens(Common::MonotonicTime now) const;

    double m_bytesPerSecond;
    double m_burst;
    double m_tokens;
    bool m_started = false;
    Common::MonotonicTime m_filledAt;
};

} // namespace Policy
