// A simulated process with its own timers on the shared virtual clock; tests can pause and kill it.
#pragma once

#include "Fakes/VirtualRuntime.h"

#include <deque>
#include <functional>
#include <set>
#include <utility>

namespace Fakes {

/// While the process is paused its clock advances but none of its actions run. Actions that become due are deferred and
/// run in order when it resumes. Must outlive every action posted to it.
class FakeProcess final : public Scheduler::Runtime {
public:
    FakeProcess(VirtualRuntime& runtime, uint64_t seed)
        : m_runtime(runtime)
        , m_random(seed)
    {
    }

    /// Time added to the process's clock at every read, to simulate a slow host.
    Common::Duration advancePerRead {};
    /// On resume, timers that are due run before what arrived meanwhile, as in an event loop that checks its timers
    /// before it reads its sockets.
    bool timersFirst = false;
    /// How far its time of day is ahead.
    std::chrono::milliseconds wallOffset {};

    Common::MonotonicTime now() const override
    {
        m_clockOffset += advancePerRead;
        return m_runtime.now() + m_clockOffset;
    }
    int64_t wallMilliseconds() const override { return m_runtime.wallMilliseconds() + wallOffset.count(); }
    Scheduler::TimerId schedule(Common::Duration delay, std::function<void()> action) override
    {
        const uint64_t id = ++m_lastTimer;
        m_timers.insert(id);
        m_runtime.schedule(delay, [this, id, action = std::move(action)] {
            run(timersFirst ? m_deferredTimers : m_deferredEvents, [this, id, action] {
                if (m_timers.erase(id))
                    action();
            });
        });
        return Scheduler::TimerId { id };
    }
    void cancel(Scheduler::TimerId timer) override { m_timers.erase(timer.value); }
    std::mt19937_64& random() override { return m_random; }

    /// Runs `action` as an event of this process: now, on resume, or not at all once the process is killed.
    void post(const std::function<void()>& action) { run(m_deferredEvents, action); }
    void kill()
    {
        m_killed = true;
        m_deferredTimers.clear();
        m_deferredEvents.clear();
    }
    void pause() { m_paused = true; }
    void resume()
    {
        m_paused = false;
        for (std::deque<std::function<void()>>* const deferred : { &m_deferredTimers, &m_deferredEvents }) {
            while (!m_paused && !deferred->empty()) {
                const std::function<void()> action = std::move(deferred->front());
                deferred->pop_front();
                action();
            }
        }
    }
    bool isKilled() const { return m_killed; }
    bool isPaused() const { return m_paused; }

private:
    void run(std::deque<std::function<void()>>& deferred, const std::function<void()>& action) const
    {
        if (m_killed)
            return;
        if (m_paused)
            deferred.push_back(action);
        else
            action();
    }

    VirtualRuntime& m_runtime;
    std::mt19937_64 m_random;
    mutable Common::Duration m_clockOffset {};
    uint64_t m_lastTimer = 0;
    std::set<uint64_t> m_timers;
    std::deque<std::function<void()>> m_deferredTimers;
    std::deque<std::function<void()>> m_deferredEvents;
    bool m_paused = false;
    bool m_killed = false;
};

} // namespace Fakes
