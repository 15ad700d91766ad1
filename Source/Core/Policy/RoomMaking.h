// Chooses which runs to stop so that a task that has waited too long gets room on one worker.
#pragma once

#include "Common/Resources.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// A run on a worker, as far as room is concerned.
struct RoomHolder {
    Common::Resources held;
    /// The run must not be stopped: it lasts, belongs to a gang, or others of its step may be away.
    bool kept = false;
    /// Its end is under way, so that what it holds becomes free without another stop.
    bool ending = false;
    bool backfill = false;
    /// 0 comes first.
    uint32_t priority = 0;
    /// What a stop throws away, in core-seconds.
    double workLost = 0;
};

/// A worker on which the task may run.
struct RoomMakingOffer {
    Common::Resources capacity;
    std::vector<RoomHolder> runs;
};

/// What a set of stops costs; the smaller one is better.
struct StopCost {
    /// Of the run that matters most: ordinary runs come after backfill, and better priorities after worse ones.
    bool stopsOrdinary = false;
    int64_t negatedPriority = 0;
    double workLost = 0;
    size_t stops = 0;

    auto operator<=>(const StopCost&) const = default;
};

struct RoomMakingPlan {
    /// Index of the offer.
    size_t worker = 0;
    /// Indices of the runs to stop; empty if ends that are under way make the room.
    std::vector<size_t> stopped;
    StopCost cost;
};

/// The cheapest stops on one worker after which `needed` fits there. Stops no run of a better priority than `priority`.
/// Nothing if no worker has so much room to make.
std::optional<RoomMakingPlan> planRoomMaking(
    const Common::Resources& needed, uint32_t priority, const std::vector<RoomMakingOffer>&);

} // namespace Policy
