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

nlohmann::json promisedRoomToJson(const PromisedRoom&);
/// Fails with MalformedRequest if the JSON isn't promised room.
Common::Result<PromisedRoom> promisedRoomFromJson(const nlohmann::json&);

} // namespace Cells
