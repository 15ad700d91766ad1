// A job as it is told to callers.
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
    /// Why it ended as it did, for people.
    std::string detail;
    std::string checkpoint;
    int64_t submittedAtMilliseconds = 0;
    int64_t endedAtMilliseconds = 0;
    /// The last attempts, oldest first, the open one included.
    std::vector<JobAttempt> attempts;
};

nlohmann::json toJson(const JobStatus&);
Common::Result<JobStatus> statusFromJson(const nlohmann::json&);

} // namespace Ledger
