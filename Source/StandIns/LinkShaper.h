// When bytes that enter a link come out of it: one direction's delay and byte rate.
#pragma once

#include "Common/Units.h"

#include <cstddef>
#include <cstdint>

namespace StandIns {

/// Shared by all connections over the link.
class LinkShaper {
public:
    /// Zero bytes a second means no limit.
    void configure(Common::Duration delay, int64_t bytesPerSecond);
    /// Takes bytes that enter now; yields when they arrive at the other end.
    Common::MonotonicTime admit(Common::MonotonicTime now, size_t bytes);
    uint64_t bytes() const { return m_bytes; }

private:
    Common::Duration m_delay {};
    int64_t m_bytesPerSecond = 0;
    /// When the bytes admitted so far have all been sent.
    Common::MonotonicTime m_sentAt;
    uint64_t m_bytes = 0;
};

} // namespace StandIns
