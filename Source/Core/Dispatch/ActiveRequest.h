// A request between its arrival at this daemon and its outcome. RequestService keeps one for each.
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
        /// Sent to another daemon, whose outcome is awaited.
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
    /// This daemon wrote the durable intent and must end it.
    bool ownsIntent = false;
    Common::MonotonicTime arrival;
    Common::MonotonicTime deadline;
    Stage stage = Stage::Queued;
    /// The admission queue counts the request, from admission to completion.
    bool admitted = false;
    std::vector<Attempt> attempts;
    uint32_t attemptsSent = 0;
    /// Some attempt ran or may have run: the outcome can no longer be NotRun.
    bool mayHaveRun = false;
    int forwardsTried = 0;
    /// Address of the daemon that has the request; empty otherwise.
    std::string forwardedTo;
    /// Workers on which an attempt failed, or was still unanswered when a second one was sent.
    std::vector<Common::WorkerId> avoid;
    std::optional<Scheduler::TimerId> deadlineTimer;
    std::optional<Scheduler::TimerId> secondAttemptTimer;
    /// Callbacks of the caller and of repeated submissions of the same id.
    std::vector<OutcomeCallback> waiters;
};

} // namespace Dispatch
