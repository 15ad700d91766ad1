// A batch job as a caller submits it.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Ledger {

struct JobSubmission {
    /// The caller's key, 1 to 64 characters: letters, digits, ".", "_" and "-". Submitting the same key again yields
    /// the same job.
    std::string key;
    Common::TeamName team;
    Common::ProfileName profile;
    Common::Resources resources;
    /// The command to run; opaque to the scheduler.
    std::string command;

    bool operator==(const JobSubmission&) const = default;
};

/// {"id","team","profile","resources":{"slots",...},"command"}; a command that is not a string is kept
/// as JSON text.
nlohmann::json toJson(const JobSubmission&);
/// Fails with MalformedRequest if a member is missing or has the wrong type. A missing "id" leaves the key empty.
Common::Result<JobSubmission> submissionFromJson(const nlohmann::json&);

} // namespace Ledger
