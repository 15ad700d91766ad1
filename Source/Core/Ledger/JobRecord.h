// A job as the log keeps it.
#pragma once

#include "Common/Ids.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobState.h"
#include "Ledger/JobSubmission.h"

#include <optional>
#include <string>
#include <vector>

namespace Ledger {

/// Invariant: at most the last attempt is open, and none once `endState` is set.
struct JobRecord {
    Common::JobId job;
    JobSubmission submission;
    bool atMostOnce = false;
    int64_t submittedAtMilliseconds = 0;
    bool cancelRequested = false;
    /// Where the next attempt resumes.
    std::string checkpoint;
    /// Distinct workers on which an attempt failed.
    std::vector<Common::WorkerId> failedWorkers;
    /// The last few, oldest first.
    std::vector<JobAttempt> attempts;
    std::optional<JobState> endState;
    int64_t endedAtMilliseconds = 0;
    std::string detail;

    const JobAttempt* openAttempt() const
    {
        const bool open = !attempts.empty() && attempts.back().end == AttemptEnd::Open;
        return open ? &attempts.back() : nullptr;
    }
    uint32_t lastAttempt() const { return attempts.empty() ? 0 : attempts.back().number.value; }
    Common::TaskId task() const { return Common::TaskId(job.value() + "#" + std::to_string(lastAttempt())); }
};

} // namespace Ledger
