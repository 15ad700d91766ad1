// Compact JSON encodings of resources, submissions and attempts. The log and the snapshots share them.
#pragma once

#include "Common/Resources.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobSubmission.h"

#include <nlohmann/json.hpp>

namespace Ledger {

/// The decoders throw nlohmann::json::exception on malformed input; the callers convert it into a failure.
nlohmann::json packResources(const Common::Resources&);
Common::Resources unpackResources(const nlohmann::json&);
nlohmann::json packSubmission(const JobSubmission&);
JobSubmission unpackSubmission(const nlohmann::json&);
nlohmann::json packAttempt(const JobAttempt&);
JobAttempt unpackAttempt(const nlohmann::json&);

} // namespace Ledger
