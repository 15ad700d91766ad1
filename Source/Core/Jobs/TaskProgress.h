// What must outlive an owner about one task.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Jobs {

struct TaskProgress {
    bool done = false;
    /// The attempts that ended as failed. A successor reads ends again, in any order, and each counts once.
    std::set<uint32_t> failedAttempts;
    /// Highest attempt number that is known to have been used.
    uint32_t lastAttempt = 0;
    /// Where the next run resumes; empty: at the beginning.
    std::string checkpoint;

    /// The cell that has taken the task over; empty: the one that keeps this record.
    std::string transferredTo;

    bool isUntouched() const
    {
        return !done && failedAttempts.empty() && lastAttempt == 0 && checkpoint.empty() && transferredTo.empty();
    }
};

} // namespace Jobs
