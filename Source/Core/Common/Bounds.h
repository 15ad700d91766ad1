// Bounds of figures that come from outside the process. Sums and products of figures within them fit into int64_t.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Common {

/// Resources of one worker or task.
inline constexpr int64_t maximumMilliCores = 1'000'000'000;
inline constexpr int64_t maximumMegabytes = 1'000'000'000;
inline constexpr int64_t maximumAccelerators = 1'000'000;

/// Of time limits, estimates and targets. A thousand of them in a row, stretched a hundredfold, are a valid Duration.
inline constexpr Duration maximumTimeSpan = std::chrono::hours(366 * 24);
inline constexpr double maximumStretch = 100;
/// Of wall clocks and workers' clocks, in milliseconds; in microseconds it still is a valid Duration.
inline constexpr int64_t maximumClockMilliseconds = 1'000'000'000'000'000;

/// Tasks of one step, and occurrences of one job.
inline constexpr uint32_t maximumTaskCount = 100'000;

} // namespace Common
