// Amounts of a worker's resources: declared by a task, held or used.
#pragma once

#include <compare>
#include <cstdint>

namespace Common {

/// An amount of each resource. Invariant: no member is negative.
struct Resources {
    int64_t slots = 0;
    /// Thousandths of a processor core.
    int64_t milliCores = 0;
    int64_t memoryMegabytes = 0;
    int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources&);
    /// Subtracts; no member falls below zero.
    Resources& operator-=(const Resources&);
};

/// True when `wanted` is within `available` in every resource.
bool fits(const Resources& wanted, const Resources& available);
/// The member-wise maximum.
Resources largerOf(const Resources&, const Resources&);

} // namespace Common
