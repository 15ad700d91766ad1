// The status of a job as callers and peers get it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobState.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Ledger {

struct JobStatus {
    Common::JobId job;
    Common::TeamName team;
    Common::ProfileName profile;
    JobState state = JobState::Queued;
    /// Human-readable reason for the end; empty if there is none.
    std::string detail;
    std::string checkpoint;
    /// Wall-clock times.
    int64_t submittedAtMilliseconds = 0;
    /// Zero while the job hasn't ended.
    int64_t endedAtMilliseconds = 0;
    /// The last attempts, oldest first, the open one included.
    std::vector<JobAttempt> attempts;
};

nlohmann::json toJson(const JobStatus&);
/// Fails with MalformedRequest if a member is missing or has the wrong type.
Common::Result<JobStatus> statusFromJson(const nlohmann::json&);

} // namespace Ledger
