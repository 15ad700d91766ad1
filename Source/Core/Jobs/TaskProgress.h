// The state of one task that a new owner of the cell needs.
#pragma once

#include "Jobs/TaskCrash.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Jobs {

struct TaskProgress {
    bool done = false;
    /// Numbers of the failed attempts. A set, since a new owner receives the ends of attempts again, in any order, and
    /// each counts once.
    std::set<uint32_t> failedAttempts;
    /// Highest attempt number known to have been used.
    uint32_t lastAttempt = 0;
    /// Checkpoint from which the next run resumes; empty: from the beginning.
    std::string checkpoint;

    /// The cell that has taken the task over; empty: the cell that stores this record.
    std::string transferredTo;

    /// Attempts that were lost in a crash of their worker that they may have caused, by number; each counts once.
    std::map<uint32_t, TaskCrash> crashes;

    /// Whether there is nothing to store about the task.
    bool isUntouched() const
    {
        return !done && failedAttempts.empty() && crashes.empty() && lastAttempt == 0 && checkpoint.empty()
            && transferredTo.empty();
    }
};

} // namespace Jobs
