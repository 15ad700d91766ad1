// Every kind of failure that the system can report, with its public name and HTTP status.
#pragma once

#include <optional>
#include <string_view>

namespace Common {

enum class ErrorCode {
    // The caller's mistake.
    MalformedRequest,
    RequestTooLarge,
    UnknownService,
    UnknownProfile,
    UnknownJob,
    UnknownTask,
    UnknownRoute,
    DeadlinePassed,
    JobFitsNoWorker,
    InvalidConfiguration,
    InvalidSetting,
    RevisionConflict,
    DuplicateId,
    // Refused now; the caller may come back.
    Overloaded,
    QuotaExceeded,
    DeadlineUnreachable,
    NoWorker,
    NoConfiguration,
    Draining,
    StoreUnavailable,
    Cancelled,
    RetryBudgetSpent,
    // Between processes.
    ConnectFailed,
    Timeout,
    ConnectionLost,
    TruncatedAnswer,
    ProtocolError,
    PeerUnavailable,
    NotOwner,
    NoAuthority,
    StartTooLate,
    WorkerRebooted,
    WorkerFull,
    WorkFailed,
    OutcomeUnknown,
    HistoryLost,
    Internal,
};

/// The stable public name, in kebab case ("deadline-passed").
std::string_view errorName(ErrorCode);
/// The code with that public name, if there is one.
std::optional<ErrorCode> errorFromName(std::string_view);
/// The HTTP status that a caller sees for this failure.
int httpStatus(ErrorCode);

} // namespace Common
