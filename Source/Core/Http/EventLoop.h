// The event loop of a process, based on Asio. It provides the clock, timers and random source that the core uses.
#pragma once

#include "Scheduler/Runtime.h"

#include <memory>

namespace asio { // NOLINT: Asio's own name
class io_context;
}

namespace Http {

class EventLoop final : public Scheduler::Runtime {
public:
    EventLoop();
    ~EventLoop() override;

    asio::io_context& context();
    /// Runs until stop().
    void run();
    void stop();
    /// Calls `action` on the loop with the number of the signal, each time one of `signals` arrives.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> action);

    /// Longest time by which a timer has fired late since the last call.
    Common::Duration takeLongestLag();

    Common::MonotonicTime now() const override;
    Common::MonotonicTime suspendAwareNow() const override;
    int64_t wallMilliseconds() const override;
    Scheduler::TimerId schedule(Common::Duration delay, std::function<void()> action) override;
    void cancel(Scheduler::TimerId) override;
    std::mt19937_64& random() override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Http
