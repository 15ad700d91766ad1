// Computes when bytes sent over a link arrive, from the delay and byte rate of one direction.
#pragma once

#include "Common/Units.h"

#include <cstddef>
#include <cstdint>

namespace StandIns {

/// One per direction, shared by all connections over the link.
class LinkShaper {
public:
    /// Zero `bytesPerSecond` means no limit.
    void configure(Common::Duration delay, int64_t bytesPerSecond);
    /// Adds bytes sent at `now` and returns when the last of them arrives at the other end.
    Common::MonotonicTime admit(Common::MonotonicTime now, size_t bytes);
    /// Bytes admitted so far.
    uint64_t bytes() const { return m_bytes; }

private:
    Common::Duration m_delay {};
    int64_t m_bytesPerSecond = 0;
    /// When the bytes admitted so far have all been sent.
    Common::MonotonicTime m_sentAt;
    uint64_t m_bytes = 0;
};

} // namespace StandIns
