// What a caller submits: a payload for the tasks, the steps, and when the steps run.
#pragma once

#include "Jobs/StepSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

struct JobSpec {
    /// Handed to each task as it is.
    std::string payload;
    std::vector<StepSpec> steps;
    /// How often the steps run; 0: once, at once.
    uint32_t occurrences = 0;
    /// Wall clock time in milliseconds at which the first occurrence is due.
    int64_t firstDueMilliseconds = 0;
    Common::Duration interval {};

    bool isScheduled() const { return occurrences > 0; }
    uint32_t occurrenceCount() const { return isScheduled() ? occurrences : 1; }
    /// Wall clock time in milliseconds from which the occurrence may start; 0 for a job that isn't scheduled.
    int64_t dueMilliseconds(uint32_t occurrence) const
    {
        if (!isScheduled())
            return 0;
        return firstDueMilliseconds
            + occurrence * std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    }
};

} // namespace Jobs
