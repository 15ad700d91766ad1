// A process that can be paused and killed, with its own timers on the shared virtual clock.
#pragma once

#include "Fakes/VirtualRuntime.h"

#include <deque>
#include <functional>
#include <set>
#include <utility>

namespace Fakes {

/// While paused, its clock goes on but nothing of it runs; what fell due meanwhile runs, in order, when it resumes.
/// Must outlive everything that was posted to it.
class FakeProcess final : public Scheduler::Runtime {
public:
    FakeProcess(VirtualRuntime& world, uint64_t seed)
        : m_world(world)
        , m_random(seed)
    {
    }

    /// By how much the process's clock has moved on between two looks at it, as on a slow host.
    Common::Duration advancePerRead {};

    Common::MonotonicTime now() const override
    {
        m_ahead += advancePerRead;
        return m_world.now() + m_ahead;
    }
    int64_t wallMilliseconds() const override { return m_world.wallMilliseconds(); }
    Scheduler::TimerId schedule(Common::Duration delay, std::function<void()> action) override
    {
        const uint64_t id = ++m_lastTimer;
        m_timers.insert(id);
        m_world.schedule(delay, [this, id, action = std::move(action)] {
            post([this, id, action] {
                if (m_timers.erase(id))
                    action();
            });
        });
        return Scheduler::TimerId { id };
    }
    void cancel(Scheduler::TimerId timer) override { m_timers.erase(timer.value); }
    std::mt19937_64& random() override { return m_random; }

    /// Runs `action` as an event of this process.
    void post(const std::function<void()>& action)
    {
        if (m_killed)
            return;
        if (m_paused)
            m_waiting.push_back(action);
        else
            action();
    }
    void kill()
    {
        m_killed = true;
        m_waiting.clear();
    }
    void pause() { m_paused = true; }
    void resume()
    {
        m_paused = false;
        while (!m_paused && !m_waiting.empty()) {
            const std::function<void()> action = std::move(m_waiting.front());
            m_waiting.pop_front();
            action();
        }
    }
    bool isKilled() const { return m_killed; }
    bool isPaused() const { return m_paused; }

private:
    VirtualRuntime& m_world;
    std::mt19937_64 m_random;
    mutable Common::Duration m_ahead {};
    uint64_t m_lastTimer = 0;
    std::set<uint64_t> m_timers;
    std::deque<std::function<void()>> m_waiting;
    bool m_paused = false;
    bool m_killed = false;
};

} // namespace Fakes
