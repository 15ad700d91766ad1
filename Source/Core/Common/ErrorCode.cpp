// Public names and HTTP statuses of failures.
#include "Common/ErrorCode.h"

#include <algorithm>
#include <array>

namespace Common {

namespace {

    struct ErrorRow {
        ErrorCode code;
        std::string_view name;
        int status;
    };

    constexpr std::array errorRows {
        ErrorRow { ErrorCode::MalformedRequest, "malformed-request", 400 },
        ErrorRow { ErrorCode::RequestTooLarge, "request-too-large", 413 },
        ErrorRow { ErrorCode::UnknownService, "unknown-service", 404 },
        ErrorRow { ErrorCode::UnknownProfile, "unknown-profile", 404 },
        ErrorRow { ErrorCode::UnknownJob, "unknown-job", 404 },
        ErrorRow { ErrorCode::UnknownTask, "unknown-task", 404 },
        ErrorRow { ErrorCode::UnknownRoute, "unknown-route", 404 },
        ErrorRow { ErrorCode::DeadlinePassed, "deadline-passed", 504 },
        ErrorRow { ErrorCode::JobFitsNoWorker, "job-fits-no-worker", 422 },
        ErrorRow { ErrorCode::InvalidConfiguration, "invalid-configuration", 422 },
        ErrorRow { ErrorCode::InvalidSetting, "invalid-setting", 422 },
        ErrorRow { ErrorCode::RevisionConflict, "revision-conflict", 409 },
        ErrorRow { ErrorCode::DuplicateId, "duplicate-id", 409 },
        ErrorRow { ErrorCode::Overloaded, "overloaded", 503 },
        ErrorRow { ErrorCode::QuotaExceeded, "quota-exceeded", 429 },
        ErrorRow { ErrorCode::DeadlineUnreachable, "deadline-unreachable", 503 },
        ErrorRow { ErrorCode::NoWorker, "no-worker", 503 },
        ErrorRow { ErrorCode::NoConfiguration, "no-configuration", 503 },
        ErrorRow { ErrorCode::Draining, "draining", 503 },
        ErrorRow { ErrorCode::StoreUnavailable, "store-unavailable", 503 },
        ErrorRow { ErrorCode::Cancelled, "cancelled", 409 },
        ErrorRow { ErrorCode::RetryBudgetSpent, "retry-budget-spent", 503 },
        ErrorRow { ErrorCode::ConnectFailed, "connect-failed", 502 },
        ErrorRow { ErrorCode::Timeout, "timeout", 504 },
        ErrorRow { ErrorCode::ConnectionLost, "connection-lost", 502 },
        ErrorRow { ErrorCode::TruncatedAnswer, "truncated-answer", 502 },
        ErrorRow { ErrorCode::ProtocolError, "protocol-error", 502 },
        ErrorRow { ErrorCode::PeerUnavailable, "peer-unavailable", 503 },
        ErrorRow { ErrorCode::NotOwner, "not-owner", 503 },
        ErrorRow { ErrorCode::NoAuthority, "no-authority", 503 },
        ErrorRow { ErrorCode::StartTooLate, "start-too-late", 409 },
        ErrorRow { ErrorCode::WorkerRebooted, "worker-rebooted", 409 },
        ErrorRow { ErrorCode::WorkerFull, "worker-full", 409 },
        ErrorRow { ErrorCode::WorkFailed, "work-failed", 500 },
        ErrorRow { ErrorCode::OutcomeUnknown, "outcome-unknown", 502 },
        ErrorRow { ErrorCode::HistoryLost, "history-lost", 410 },
        ErrorRow { ErrorCode::Internal, "internal", 500 },
    };

    static_assert(errorRows.size() == static_cast<size_t>(ErrorCode::Internal) + 1, "every code has a row");

} // namespace

std::string_view errorName(ErrorCode code) { return errorRows.at(static_cast<size_t>(code)).name; }

std::optional<ErrorCode> errorFromName(std::string_view name)
{
    const auto* const row
        = std::find_if(errorRows.begin(), errorRows.end(), [&](const ErrorRow& r) { return r.name == name; });
    if (row == errorRows.end())
        return std::nullopt;
    return row->code;
}

int httpStatus(ErrorCode code) { return errorRows.at(static_cast<size_t>(code)).status; }

} // namespace Common
