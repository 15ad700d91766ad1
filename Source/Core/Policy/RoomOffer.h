// What a cell answers when it is asked for room for a long-running task that has lost its run.
#pragma once

#include "Common/Units.h"
#include "Policy/RoomMaking.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Policy {

struct NoRoom { };
struct FreeRoom {
    /// For so many tasks of the step.
    uint32_t tasks = 1;
};
/// Stops of runs on one worker make the room at once.
struct RoomByStops {
    StopCost cost;
};
/// Runs that end by themselves make the room.
struct RoomByEnds {
    Common::Duration wait {};
};
using RoomOffer = std::variant<NoRoom, FreeRoom, RoomByStops, RoomByEnds>;

/// Index of the best offer: the most free room, then the cheapest stops, then the earliest ends. Nothing if none has
/// room.
std::optional<size_t> chooseRoomOffer(const std::vector<RoomOffer>&);

} // namespace Policy
