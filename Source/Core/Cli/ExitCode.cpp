// Exit codes of failures.
#include "Cli/ExitCode.h"

namespace Cli {

using Common::ErrorCode;

ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::RevisionConflict:
    case ErrorCode::DuplicateId:
        return ExitCode::Conflict;
    case ErrorCode::Timeout:
    case ErrorCode::ConnectionLost:
    case ErrorCode::TruncatedAnswer:
    case ErrorCode::ProtocolError:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::Internal:
        return ExitCode::Unknown;
    case ErrorCode::ConnectFailed:
        return ExitCode::Unreachable;
    case ErrorCode::InvalidConfiguration:
        return ExitCode::Invalid;
    default:
        return ExitCode::NotRun;
    }
}

ExitCode exitCodeOfRead(ErrorCode code)
{
    const ExitCode exitCode = exitCodeOf(code);
    return exitCode == ExitCode::Unknown ? ExitCode::Unreachable : exitCode;
}

} // namespace Cli
