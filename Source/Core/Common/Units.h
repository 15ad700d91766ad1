// Units of time, size and version used by every layer.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Common {

using Duration = std::chrono::microseconds;

/// Clock type of monotonic time points, which the real runtime and the virtual one of tests both produce.
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT: the name that std::chrono asks for
};
using MonotonicTime = MonotonicClock::time_point;

/// A reading of a worker's own monotonic clock, in milliseconds since that worker booted.
/// Readings of different workers or boots must not be compared.
struct WorkerTime {
    int64_t milliseconds = 0;
    auto operator<=>(const WorkerTime&) const = default;
    WorkerTime operator+(std::chrono::milliseconds delta) const { return WorkerTime { milliseconds + delta.count() }; }
};

/// Version of a store key; increases across the whole store. Zero means "the key does not exist".
struct StoreRevision {
    uint64_t value = 0;
    auto operator<=>(const StoreRevision&) const = default;
};

/// Revision of the operators' configuration. Zero means that none is known.
struct ConfigRevision {
    uint64_t value = 0;
    auto operator<=>(const ConfigRevision&) const = default;
};

/// Number of an attempt at a job, starting at 1.
struct AttemptNumber {
    uint32_t value = 0;
    auto operator<=>(const AttemptNumber&) const = default;
};

/// Orders the claims on one worker; see WorkerClaim and WorkerOwnership.
struct ClaimTerm {
    int64_t value = 0;
    auto operator<=>(const ClaimTerm&) const = default;
};

} // namespace Common
