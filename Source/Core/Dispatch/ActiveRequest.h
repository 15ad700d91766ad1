// A request between its arrival and its outcome.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Dispatch/IncomingRequest.h"
#include "Dispatch/RequestOutcome.h"
#include "Dispatch/TaskPlacement.h"
#include "Policy/QueuedRequest.h"
#include "Scheduler/Profile.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/ServiceConfig.h"

#include <optional>
#include <string>
#include <vector>

namespace Dispatch {

struct ActiveRequest {
    enum class Stage {
        /// Its durable intent is being written.
        Intent,
        Queued,
        /// At least one attempt is on a worker.
        Dispatched,
        /// With another daemon.
        Forwarded,
    };
    struct Attempt {
        Common::TaskId task;
        TaskPlacement placement;
        Common::MonotonicTime startedAt;
    };

    IncomingRequest request;
    Scheduler::Profile profile;
    Scheduler::ServiceConfig service;
    bool idempotent = true;
    /// This daemon wrote the intent and must end it.
    bool ownsIntent = false;
    Common::MonotonicTime arrival;
    Common::MonotonicTime deadline;
    Stage stage = Stage::Queued;
    /// Counted in the admission queue's account from admission to completion.
    bool admitted = false;
    std::vector<Attempt> attempts;
    uint32_t attemptsSent = 0;
    /// Some attempt ran, or may have: the outcome can't be "not run" any more.
    bool mayHaveRun = false;
    int forwardsTried = 0;
    std::string forwardedTo;
    /// Workers on which an attempt failed.
    std::vector<Common::WorkerId> avoid;
    std::optional<Scheduler::TimerId> deadlineTimer;
    std::optional<Scheduler::TimerId> secondAttemptTimer;
    /// The caller and those who repeated the same id meanwhile.
    std::vector<OutcomeCallback> waiters;
};

} // namespace Dispatch
