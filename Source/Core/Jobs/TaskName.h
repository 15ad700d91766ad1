// Identifies one task of a job.
#pragma once

#include "Common/Ids.h"

#include <compare>
#include <cstdint>

namespace Jobs {

struct TaskName {
    Common::JobId job;
    /// These count from 0.
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskName&) const = default;
};

} // namespace Jobs
