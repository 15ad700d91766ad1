// What a caller submits: the payload of the tasks, the steps, and the schedule.
#pragma once

#include "Jobs/StepSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

struct JobSpec {
    /// Passed to each task unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of scheduled runs of the steps; 0: a single run, without delay.
    uint32_t occurrences = 0;
    /// Wall-clock time at which the first occurrence is due, in milliseconds.
    int64_t firstDueMilliseconds = 0;
    /// Time between the due times of two occurrences.
    Common::Duration interval {};

    bool isScheduled() const { return occurrences > 0; }
    uint32_t occurrenceCount() const { return isScheduled() ? occurrences : 1; }
    /// Wall-clock time from which the occurrence may start, in milliseconds; 0 for a job that isn't scheduled.
    int64_t dueMilliseconds(uint32_t occurrence) const
    {
        if (!isScheduled())
            return 0;
        return firstDueMilliseconds
            + occurrence * std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    }
};

} // namespace Jobs
