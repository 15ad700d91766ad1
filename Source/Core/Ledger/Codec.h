// Short JSON forms that the log and the snapshots share.
#pragma once

#include "Common/Resources.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobSubmission.h"

#include <nlohmann/json.hpp>

namespace Ledger {

/// Each decoder throws nlohmann's exceptions on a wrong form; callers turn them into failures at one place.
nlohmann::json packResources(const Common::Resources&);
Common::Resources unpackResources(const nlohmann::json&);
nlohmann::json packSubmission(const JobSubmission&);
JobSubmission unpackSubmission(const nlohmann::json&);
nlohmann::json packAttempt(const JobAttempt&);
JobAttempt unpackAttempt(const nlohmann::json&);

} // namespace Ledger
