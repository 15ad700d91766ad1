// What the tool's exit code says.
#pragma once

#include "Common/ErrorCode.h"

namespace Cli {

enum class ExitCode {
    Success = 0,
    /// Refused, or not run: nothing has happened.
    NotRun = 1,
    Usage = 2,
    /// Another change or another job was first.
    Conflict = 3,
    /// It may have happened. Repeat with the same id to find out.
    Unknown = 4,
    /// No daemon could be reached; nothing has happened.
    Unreachable = 5,
    /// The document has faults.
    Invalid = 6,
    /// Done, but not everywhere in time, or not every host has answered.
    Incomplete = 7,
    /// The job has ended without success.
    WorkFailed = 8,
};

/// For a call that changes something.
ExitCode exitCodeOf(Common::ErrorCode);
/// For a call that only reads: a lost answer has no effect that could be unknown.
ExitCode exitCodeOfRead(Common::ErrorCode);

} // namespace Cli
