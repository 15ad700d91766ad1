// JSON form of a cell with its load, in messages between hosts.
#pragma once

#include "Cells/HostHeartbeat.h"

#include <nlohmann/json_fwd.hpp>

namespace Cells {

nlohmann::json ownedCellToJson(const HostHeartbeat::OwnedCell&);
/// Throws JsonFault if the row has another shape.
HostHeartbeat::OwnedCell ownedCellFromJson(const nlohmann::json&);

} // namespace Cells
