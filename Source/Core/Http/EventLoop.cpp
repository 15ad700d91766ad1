// Asio's io_context with timers that are identified by id.
#include "Http/EventLoop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <ctime>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Http {

struct EventLoop::Impl {
    // The timers and signal sets below refer to the context, so it is destroyed last.
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    std::mt19937_64 random { std::random_device {}() };
    uint64_t lastTimer = 0;
    Common::Duration longestLag {};
    /// Holds exactly the timers that have neither fired nor been cancelled.
    std::unordered_map<uint64_t, asio::steady_timer> timers;
    std::vector<std::unique_ptr<asio::signal_set>> signals;

    void fire(uint64_t id, const std::function<void()>& action)
    {
        // The handler of a cancelled timer may already be queued.
        const auto timer = timers.find(id);
        if (timer == timers.end())
            return;
        const auto lag = std::chrono::steady_clock::now() - timer->second.expiry();
        longestLag = std::max(longestLag, std::chrono::duration_cast<Common::Duration>(lag));
        timers.erase(timer);
        action();
    }

    void awaitSignal(asio::signal_set& set, const std::function<void(int)>& action)
    {
        set.async_wait([this, &set, action](const asio::error_code& error, int signal) {
            if (error)
                return;
            action(signal);
            awaitSignal(set, action);
        });
    }
};

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

asio::io_context& EventLoop::context() { return m_impl->context; }

void EventLoop::run()
{
    m_impl->context.restart();
    m_impl->context.run();
}

void EventLoop::stop() { m_impl->context.stop(); }

void EventLoop::onSignals(
    std::initializer_list<int> signals, std::function<void(int)> action) // NOLINT: kept by the wait
{
    auto set = std::make_unique<asio::signal_set>(m_impl->context);
    for (const int signal : signals)
        set->add(signal);
    m_impl->awaitSignal(*set, action);
    m_impl->signals.push_back(std::move(set));
}

Common::Duration EventLoop::takeLongestLag() { return std::exchange(m_impl->longestLag, Common::Duration::zero()); }

Common::MonotonicTime EventLoop::now() const
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Common::MonotonicTime(std::chrono::duration_cast<Common::Duration>(sinceEpoch));
}

Common::MonotonicTime EventLoop::suspendAwareNow() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Common::MonotonicTime(std::chrono::duration_cast<Common::Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

int64_t EventLoop::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

Scheduler::TimerId EventLoop::schedule(Common::Duration delay, std::function<void()> action)
{
    const uint64_t id = ++m_impl->lastTimer;
    asio::steady_timer& timer = m_impl->timers.try_emplace(id, m_impl->context, delay).first->second;
    timer.async_wait([impl = m_impl.get(), id, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            impl->fire(id, action);
    });
    return Scheduler::TimerId { id };
}

void EventLoop::cancel(Scheduler::TimerId timer) { m_impl->timers.erase(timer.value); }

std::mt19937_64& EventLoop::random() { return m_impl->random; }

} // namespace Http
