// Room that a cell wants for waiting long-running tasks that have lost their run. Its owner tells the other owners with
// the cell's load; see CellEngine::offerFreeRoom.
#pragma once

#include "Cells/CellId.h"
#include "Cells/RoomQuestion.h"
#include "Common/Units.h"

namespace Cells {

struct WantedRoom {
    /// The cell in which the tasks wait.
    CellId cell;
    /// Names the step by its first waiting task.
    RoomQuestion question;
    /// How long no task of the step has found room.
    Common::Duration waited {};
    /// When this host heard of it; not sent.
    Common::MonotonicTime heardAt;
};

} // namespace Cells
