// Ring buffer of the process's latest events, served to operators.
#pragma once

#include "Common/Event.h"
#include "Common/HybridClock.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Common {

/// Invariant: holds at most `capacity` events, oldest first, with increasing timestamps.
class Timeline {
public:
    using WallClock = std::function<int64_t()>;

    /// `wallClock` returns wall-clock milliseconds.
    Timeline(std::string process, size_t capacity, WallClock wallClock);

    /// Stamps the event with the time and the process, and stores it. Drops the oldest event when full.
    void record(Event event);
    HybridClock& clock() { return m_clock; }
    HybridTime stampNow() { return m_clock.stamp(m_wallClock()); }
    /// Events later than `after` that match the filter in its non-empty ids and its configuration revision, if not 0.
    std::vector<Event> select(const Event& filter, HybridTime after) const;
    /// Number of events dropped because the ring was full.
    uint64_t dropped() const { return m_dropped; }

private:
    std::string m_process;
    size_t m_capacity;
    WallClock m_wallClock;
    HybridClock m_clock;
    std::deque<Event> m_events;
    uint64_t m_dropped = 0;
};

} // namespace Common
