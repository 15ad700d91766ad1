// A hybrid logical timestamp, issued by HybridClock.
#pragma once

#include <compare>
#include <cstdint>

namespace Common {

/// Wall-clock milliseconds and a counter that orders events within one millisecond and across processes.
struct HybridTime {
    int64_t wallMilliseconds = 0;
    uint32_t counter = 0;
    auto operator<=>(const HybridTime&) const = default;
};

} // namespace Common
