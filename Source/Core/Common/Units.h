// Units of time, size and version used by every layer.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Common {

using Duration = std::chrono::microseconds;

/// Tag for the process's monotonic clock; the real one and the virtual one both yield its time points.
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

/// Version of a store key; grows over the whole store. Zero means "the key does not exist".
struct StoreRevision {
    uint64_t value = 0;
    auto operator<=>(const StoreRevision&) const = default;
};

/// Revision of the operators' configuration. Zero means "none known".
struct ConfigRevision {
    uint64_t value = 0;
    auto operator<=>(const ConfigRevision&) const = default;
};

/// Number of one attempt at a job, from 1.
struct AttemptNumber {
    uint32_t value = 0;
    auto operator<=>(const AttemptNumber&) const = default;
};

/// Orders the claims on one worker; see WorkerOwnership.
struct ClaimTerm {
    int64_t value = 0;
    auto operator<=>(const ClaimTerm&) const = default;
};

} // namespace Common
