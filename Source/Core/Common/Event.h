// An event of the process's timeline, and the kinds of events.
#pragma once

#include "Common/HybridTime.h"

#include <optional>
#include <string>
#include <string_view>

namespace Common {

/// Each value has a public name in Event.cpp, in the same order.
enum class EventKind {
    DaemonStarted,
    DaemonDraining,
    DaemonStopped,
    PeerUp,
    PeerDown,
    StoreUp,
    StoreDown,
    WorkerClaimed,
    WorkerOwned,
    WorkerLost,
    WorkerLeaving,
    WorkerEjected,
    WorkerReadmitted,
    RequestAdmitted,
    RequestRefused,
    RequestForwarded,
    RequestDispatched,
    RequestAnswered,
    /// The request failed and certainly did not run.
    RequestNotRun,
    /// The request failed and may have run.
    RequestOutcomeUnknown,
    ShardOwned,
    ShardLost,
    JobAccepted,
    /// The intent to start an attempt is durable; the start follows.
    JobIntended,
    JobStarted,
    JobEvicting,
    JobEvicted,
    JobFinished,
    JobFailed,
    JobCancelled,
    JobAttemptLost,
    ConfigLearned,
    ConfigInForce,
};

/// The stable public name, in kebab case ("worker-owned").
std::string_view eventName(EventKind);
/// The inverse of eventName(); nothing for an unknown name.
std::optional<EventKind> eventFromName(std::string_view);

/// What happened, when, and in which process. An id that doesn't apply is empty.
struct Event {
    HybridTime time;
    std::string process;
    EventKind kind = EventKind::DaemonStarted;
    std::string request;
    std::string job;
    std::string worker;
    uint64_t configRevision = 0;
    uint32_t attempt = 0;
    /// A short human-readable remark.
    std::string note;
};

} // namespace Common
