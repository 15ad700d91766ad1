// One change of a shard's durable state, and its compact encoding in the log.
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

/// A shard's state is the result of applying its deltas in order; only retention drops records besides. Times are
/// wall-clock milliseconds.
struct LedgerDelta {
    struct IntentAdded {
        Common::RequestId request;
        int64_t atMilliseconds = 0;
    };
    /// The request did not run; a repeat may run.
    struct IntentRemoved {
        Common::RequestId request;
    };
    struct JobAccepted {
        Common::JobId job;
        JobSubmission submission;
        bool atMostOnce = false;
        int64_t atMilliseconds = 0;
    };
    /// From this delta on the attempt may start.
    struct AttemptIntended {
        Common::JobId job;
        JobAttempt attempt;
    };
    /// The open attempt is resolved and the job is queued again. An empty checkpoint keeps the last one.
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
    /// The job and its open attempt, if any, have ended.
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

/// Encodes the delta as a JSON array that starts with the letter of its kind.
std::string encode(const LedgerDelta&);
/// Fails with ProtocolError if the array is malformed or its kind is unknown.
Common::Result<LedgerDelta> decodeDelta(const nlohmann::json&);

} // namespace Ledger
