// The failures that the system reports, with their public names and HTTP statuses.
#pragma once

#include <optional>
#include <string_view>

namespace Common {

/// Each value has a row in ErrorCode.cpp, in the same order.
enum class ErrorCode {
    // Errors of the caller.
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
    // Refused for now; the caller may retry later.
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
    /// The lease has expired, or this daemon may not start the task on the worker.
    NoAuthority,
    /// The worker's clock had reached the start command's startBy.
    StartTooLate,
    WorkerRebooted,
    WorkerFull,
    WorkFailed,
    OutcomeUnknown,
    /// The changes since the requested revision are no longer kept; the keys must be listed again.
    HistoryLost,
    Internal,
};

/// The stable public name, in kebab case ("deadline-passed").
std::string_view errorName(ErrorCode);
/// The inverse of errorName(); nothing for an unknown name.
std::optional<ErrorCode> errorFromName(std::string_view);
/// The HTTP status of a response that reports this failure.
int httpStatus(ErrorCode);

} // namespace Common
