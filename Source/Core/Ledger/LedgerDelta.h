// One change of a shard's durable state, and its short form in the log.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobState.h"
#include "Ledger/JobSubmission.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <variant>

namespace Ledger {

/// The state of a shard is what its deltas make of it, in order; nothing else changes it.
struct LedgerDelta {
    struct IntentAdded {
        Common::RequestId request;
        int64_t atMilliseconds = 0;
    };
    /// The request did not run; a repeat may.
    struct IntentRemoved {
        Common::RequestId request;
    };
    struct JobAccepted {
        Common::JobId job;
        JobSubmission submission;
        bool atMostOnce = false;
        int64_t atMilliseconds = 0;
    };
    /// From here on the attempt may start.
    struct AttemptIntended {
        Common::JobId job;
        JobAttempt attempt;
    };
    /// The open attempt is resolved and the job is queued again.
    struct AttemptEnded {
        Common::JobId job;
        AttemptEnd end = AttemptEnd::Lost;
        std::string checkpoint;
    };
    struct CheckpointRecorded {
        Common::JobId job;
        std::string checkpoint;
    };
    struct CancelRequested {
        Common::JobId job;
    };
    /// The job is over, and its open attempt, if any, with it.
    struct JobEnded {
        Common::JobId job;
        JobState state = JobState::Finished;
        AttemptEnd attemptEnd = AttemptEnd::Finished;
        int64_t atMilliseconds = 0;
        std::string detail;
    };

    using Change = std::variant<IntentAdded, IntentRemoved, JobAccepted, AttemptIntended, AttemptEnded,
        CheckpointRecorded, CancelRequested, JobEnded>;
    Change change;
};

/// A JSON array that starts with the kind's letter.
std::string encode(const LedgerDelta&);
Common::Result<LedgerDelta> decodeDelta(const nlohmann::json&);

} // namespace Ledger
