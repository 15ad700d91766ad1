// What a batch task needs.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <string>
#include <vector>

namespace Scheduler {

struct TaskSpec {
    Common::TaskId task;
    Common::JobId job;
    Common::TeamName team;
    Common::ProfileName profile;
    Common::Resources declared;
    std::string checkpoint;
    std::string command;
    bool urgent = false;
    /// Workers on which this job failed before; avoided where others fit.
    std::vector<Common::WorkerId> avoid;
};

} // namespace Scheduler
