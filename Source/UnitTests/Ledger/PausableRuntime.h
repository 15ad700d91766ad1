// The runtime of one simulated process on the virtual clock. pause() delays all its timers and answers until resume();
// kill() drops them.
#pragma once

#include "Scheduler/Runtime.h"

#include <functional>
#include <utility>
#include <vector>

namespace LedgerTests {

class PausableRuntime final : public Scheduler::Runtime {
public:
    explicit PausableRuntime(Scheduler::Runtime& world)
        : m_world(world)
    {
    }

    Common::MonotonicTime now() const override { return m_world.now(); }
    int64_t wallMilliseconds() const override { return m_world.wallMilliseconds(); }
    Scheduler::TimerId schedule(Common::Duration delay, std::function<void()> action) override
    {
        return m_world.schedule(delay, [this, action = std::move(action)] {
            if (m_killed)
                return;
            if (m_paused)
                m_held.push_back(action);
            else
                action();
        });
    }
    void cancel(Scheduler::TimerId timer) override { m_world.cancel(timer); }
    std::mt19937_64& random() override { return m_world.random(); }

    bool running() const { return !m_paused && !m_killed; }
    void pause() { m_paused = true; }
    void resume()
    {
        m_paused = false;
        for (const auto& action : std::exchange(m_held, {}))
            m_world.schedule(Common::Duration(0), [this, action] {
                if (!m_killed)
                    action();
            });
    }
    void kill()
    {
        m_killed = true;
        m_held.clear();
    }

private:
    Scheduler::Runtime& m_world;
    bool m_paused = false;
    bool m_killed = false;
    std::vector<std::function<void()>> m_held;
};

} // namespace LedgerTests
