// Interface to clocks, timers and randomness: backed by Asio in the daemon, virtual in tests.
#pragma once

#include "Common/Units.h"

#include <cstdint>
#include <functional>
#include <random>

namespace Scheduler {

struct TimerId {
    uint64_t value = 0;
    bool operator==(const TimerId&) const = default;
};

/// One per process. All calls and timer actions run on its single event loop.
class Runtime {
public:
    virtual ~Runtime() = default;

    virtual Common::MonotonicTime now() const = 0;
    /// Like now(), but includes the time for which the host was suspended. Used to measure how long ago something was
    /// last confirmed; its readings are not comparable with those of now().
    virtual Common::MonotonicTime suspendAwareNow() const { return now(); }
    /// Wall-clock time in milliseconds since the Unix epoch.
    virtual int64_t wallMilliseconds() const = 0;
    /// Runs `action` once, after `delay`.
    virtual TimerId schedule(Common::Duration delay, std::function<void()> action) = 0;
    /// Does nothing if the timer has fired or was cancelled.
    virtual void cancel(TimerId) = 0;
    /// The process's random number generator; tests seed it.
    virtual std::mt19937_64& random() = 0;
};

} // namespace Scheduler
