// Time and timers as the core sees them: Asio's under the daemon, virtual ones under tests.
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

/// One per process. All calls and all timers run on the one event loop.
class Runtime {
public:
    virtual ~Runtime() = default;

    virtual Common::MonotonicTime now() const = 0;
    /// Counts also the time for which the host was suspended. Only for how long something was last confirmed; not
    /// comparable with now().
    virtual Common::MonotonicTime suspendAwareNow() const { return now(); }
    virtual int64_t wallMilliseconds() const = 0;
    /// Runs `action` once, `delay` from now.
    virtual TimerId schedule(Common::Duration delay, std::function<void()> action) = 0;
    /// A timer that has fired or was cancelled is ignored.
    virtual void cancel(TimerId) = 0;
    /// Seeded in tests.
    virtual std::mt19937_64& random() = 0;
};

} // namespace Scheduler
