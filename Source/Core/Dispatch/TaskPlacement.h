// Room that WorkerPool keeps for one task on a worker, with the authority to start it there.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>

namespace Dispatch {

struct TaskPlacement {
    Common::WorkerId worker;
    std::string address;
    Common::WorkerBootId boot;
    /// The worker refuses the start from this reading of its clock on.
    Common::WorkerTime startBy;
};

} // namespace Dispatch
