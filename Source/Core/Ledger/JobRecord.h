// The durable record of one job, built from the log's deltas.
#pragma once

#include "Common/Ids.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobState.h"
#include "Ledger/JobSubmission.h"

#include <optional>
#include <string>
#include <vector>

namespace Ledger {

/// Invariant: only the last attempt may be open, and none is once `endState` is set.
struct JobRecord {
    Common::JobId job;
    JobSubmission submission;
    bool atMostOnce = false;
    int64_t submittedAtMilliseconds = 0;
    bool cancelRequested = false;
    /// The checkpoint from which the next attempt resumes; empty if none was recorded.
    std::string checkpoint;
    /// Distinct workers on which an attempt failed.
    std::vector<Common::WorkerId> failedWorkers;
    /// The most recent attempts, oldest first.
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
