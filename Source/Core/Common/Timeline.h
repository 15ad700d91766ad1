// The bounded ring of events that each process keeps.
#pragma once

#include "Common/Event.h"
#include "Common/HybridClock.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Common {

/// Invariant: holds at most `capacity` events, oldest first, with growing time stamps.
class Timeline {
public:
    using WallClock = std::function<int64_t()>;

    /// `wallClock` yields wall-clock milliseconds.
    Timeline(std::string process, size_t capacity, WallClock wallClock);

    /// Stamps and keeps an event; drops the oldest when full.
    void record(Event event);
    HybridClock& clock() { return m_clock; }
    HybridTime stampNow() { return m_clock.stamp(m_wallClock()); }
    /// Events that match every non-empty id of the filter and are later than `after`.
    std::vector<Event> select(const Event& filter, HybridTime after) const;
    /// Number of events that were dropped because the ring was full.
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
