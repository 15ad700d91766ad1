// Free room that the owner of a cell keeps for long-running tasks that wait in another cell, and which it asks for.
#pragma once

#include "Cells/CellId.h"
#include "Common/Result.h"
#include "Jobs/TaskName.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Cells {

struct PromisedRoom {
    /// A task of the step for which it is.
    Jobs::TaskName task;
    /// The cell that has the room.
    CellId cell;
    /// For so many tasks of the step.
    uint32_t tasks = 0;
};

/// The answer of the owner of the cell in which the tasks wait.
struct TakenRoom {
    /// How many it transfers to the room; none while another transfer of the job is under way.
    uint32_t tasks = 0;
    /// How many tasks of the step still wait there.
    uint32_t waiting = 0;
};

nlohmann::json promisedRoomToJson(const PromisedRoom&);
/// Fails with MalformedRequest if the JSON isn't promised room.
Common::Result<PromisedRoom> promisedRoomFromJson(const nlohmann::json&);
nlohmann::json takenRoomToJson(const TakenRoom&);
/// Fails with MalformedRequest if the JSON isn't such an answer.
Common::Result<TakenRoom> takenRoomFromJson(const nlohmann::json&);

} // namespace Cells
