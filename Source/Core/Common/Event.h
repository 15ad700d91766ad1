// One entry of the time line.
#pragma once

#include "Common/HybridTime.h"

#include <optional>
#include <string>
#include <string_view>

namespace Common {

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
    RequestNotRun,
    RequestOutcomeUnknown,
    ShardOwned,
    ShardLost,
    JobAccepted,
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

std::string_view eventName(EventKind);
std::optional<EventKind> eventFromName(std::string_view);

/// What happened, to what, when and where. Empty ids mean "does not apply".
struct Event {
    HybridTime time;
    std::string process;
    EventKind kind = EventKind::DaemonStarted;
    std::string request;
    std::string job;
    std::string worker;
    uint64_t configRevision = 0;
    uint32_t attempt = 0;
    /// A short remark for people.
    std::string note;
};

} // namespace Common
