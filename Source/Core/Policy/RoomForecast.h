// Forecasts when a worker will have room for a task that doesn't fit yet, from the expected ends of the runs there.
#pragma once

#include "Common/Resources.h"
#include "Common/Units.h"

#include <optional>
#include <vector>

namespace Policy {

/// What one run on the worker holds.
struct HeldRoom {
    Common::Resources held;
    /// Time until the run's expected end; empty for a long-running run, which doesn't end by itself.
    std::optional<Common::Duration> remaining;
};

/// Expected time until a run ends that has lasted for `elapsed`. A run that has overrun its estimate is expected to go
/// on for a share of what it has lasted.
Common::Duration expectedRemaining(Common::Duration estimate, Common::Duration elapsed);
/// Time until the need fits beside the runs that are left; zero if it fits now, nothing if ends of runs alone never
/// make room for it.
std::optional<Common::Duration> timeUntilRoom(
    const Common::Resources& needed, const Common::Resources& capacity, std::vector<HeldRoom>);

} // namespace Policy
