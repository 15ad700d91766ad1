// Decides whether a run on a worker that can't be reached has probably ended by itself, so that its end waits there to
// be read.
#pragma once

#include "Common/Units.h"

#include <chrono>
#include <cstdint>

namespace Policy {

/// How long an end is waited for after the lease of its worker has passed: about as long again as the lease. Starting
/// the task anew within that time would mostly repeat work that was done; later, callers would wait too long.
constexpr Common::Duration longestUnreadEndWait = std::chrono::seconds(6);

/// A run as its worker last reported it.
struct SilentRun {
    /// Long-running tasks don't end by themselves.
    bool longRunning = false;
    /// How long it had lasted.
    Common::Duration ran {};
    /// Share of its work that was done; 0 if unknown.
    uint32_t percent = 0;
    /// Run time that the caller expects.
    Common::Duration estimate {};
};

/// Whether the run ends within `left` of the report, as far as its progress or, without any, its estimate tells.
bool endsWithin(const SilentRun&, Common::Duration left);

} // namespace Policy
