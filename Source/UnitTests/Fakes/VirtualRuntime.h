// A virtual clock with timers, advanced only by the test. Simulations and benchmarks use it too.
#pragma once

#include "Scheduler/Runtime.h"

#include <functional>
#include <map>
#include <utility>

namespace Fakes {

/// Timers due at the same time fire in the order in which they were set.
class VirtualRuntime final : public Scheduler::Runtime {
public:
    explicit VirtualRuntime(uint64_t seed)
        : m_random(seed)
    {
    }

    Common::MonotonicTime now() const override { return m_now; }
    int64_t wallMilliseconds() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    }
    Scheduler::TimerId schedule(Common::Duration delay, std::function<void()> action) override
    {
        const uint64_t id = ++m_lastTimer;
        m_timers.emplace(std::pair(m_now + delay, id), std::move(action));
        m_dueTimes.emplace(id, m_now + delay);
        return Scheduler::TimerId { id };
    }
    void cancel(Scheduler::TimerId timer) override
    {
        const auto due = m_dueTimes.find(timer.value);
        if (due == m_dueTimes.end())
            return;
        m_timers.erase(std::pair(due->second, timer.value));
        m_dueTimes.erase(due);
    }
    std::mt19937_64& random() override { return m_random; }

    /// Advances to the next timer and fires it; returns false when there is none.
    bool step()
    {
        if (m_timers.empty())
            return false;
        const auto first = m_timers.begin();
        m_now = std::max(m_now, first->first.first);
        const std::function<void()> action = std::move(first->second);
        m_dueTimes.erase(first->first.second);
        m_timers.erase(first);
        action();
        return true;
    }
    /// Advances by `span` and fires all timers that become due.
    void advance(Common::Duration span)
    {
        const Common::MonotonicTime end = m_now + span;
        while (!m_timers.empty() && m_timers.begin()->first.first <= end)
            step();
        m_now = end;
    }

private:
    Common::MonotonicTime m_now {};
    uint64_t m_lastTimer = 0;
    std::map<std::pair<Common::MonotonicTime, uint64_t>, std::function<void()>> m_timers;
    std::map<uint64_t, Common::MonotonicTime> m_dueTimes;
    std::mt19937_64 m_random;
};

} // namespace Fakes
