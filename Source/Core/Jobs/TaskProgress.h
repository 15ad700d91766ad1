// What must outlive an owner about one task.
#pragma once

#include <cstdint>
#include <string>

namespace Jobs {

struct TaskProgress {
    bool done = false;
    /// Runs that ended as failed.
    uint32_t failures = 0;
    /// The newest attempt that was counted as failed; an end that is read a second time isn't counted again.
    uint32_t lastFailedAttempt = 0;
    /// Highest attempt number that is known to have been used.
    uint32_t lastAttempt = 0;
    /// Where the next run resumes; empty: at the beginning.
    std::string checkpoint;

    /// The cell that has taken the task over; empty: the one that keeps this record.
    std::string elsewhere;

    bool untouched() const
    {
        return !done && failures == 0 && lastAttempt == 0 && checkpoint.empty() && elsewhere.empty();
    }
};

} // namespace Jobs
