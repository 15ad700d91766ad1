// The reason why an operation failed.
#pragma once

#include "Common/ErrorCode.h"
#include "Common/Units.h"

#include <optional>
#include <string>

namespace Common {

/// `detail` is a human-readable sentence; code branches on `code` only.
struct Failure {
    ErrorCode code = ErrorCode::Internal;
    std::string detail;
    /// How long a refused caller should wait before it retries.
    std::optional<Duration> retryAfter;
};

} // namespace Common
