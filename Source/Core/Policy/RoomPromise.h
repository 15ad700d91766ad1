// Which tasks of other cells a cell with free room calls for, and on which of its workers it keeps room for them.
#pragma once

#include "Common/Units.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Policy {

/// A step whose tasks wait for room in another cell.
struct RoomClaim {
    /// 0 comes first.
    uint32_t priority = 0;
    Common::Duration waited {};
};

/// Indices of the claims in the order in which room is offered to them: by priority, then those that have waited
/// longest.
std::vector<size_t> rankRoomClaims(const std::vector<RoomClaim>&);

/// Room that is kept on one worker.
struct KeptRoom {
    /// Index of the worker.
    size_t worker = 0;
    uint32_t tasks = 0;
    bool operator==(const KeptRoom&) const = default;
};

/// The workers on which room is kept for at most `waiting` tasks; `roomOf` has the number of tasks that fit on each
/// worker. Those with the most room first, and no more workers than `mostWorkers`.
std::vector<KeptRoom> chooseKeptRoom(const std::vector<uint32_t>& roomOf, uint32_t waiting, size_t mostWorkers);

} // namespace Policy
