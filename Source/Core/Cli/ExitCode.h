// The tool's exit codes, and which failure leads to which.
#pragma once

#include "Common/ErrorCode.h"

namespace Cli {

enum class ExitCode {
    Success = 0,
    /// Refused or not run, without any effect.
    NotRun = 1,
    Usage = 2,
    /// Another change was accepted before, or another job has this id.
    Conflict = 3,
    /// The outcome is unknown. Repeat with the same id to find out.
    Unknown = 4,
    /// No daemon could be reached; the call had no effect.
    Unreachable = 5,
    /// The document has faults.
    Invalid = 6,
    /// Done, but not everywhere in time; or not every host has answered.
    Incomplete = 7,
    /// The job has ended without success.
    WorkFailed = 8,
};

/// For a call that changes something.
ExitCode exitCodeOf(Common::ErrorCode);
/// For a call that only reads: a lost answer leaves no unknown effect, so it counts as Unreachable.
ExitCode exitCodeOfRead(Common::ErrorCode);

} // namespace Cli
