// Why something failed.
#pragma once

#include "Common/ErrorCode.h"
#include "Common/Units.h"

#include <optional>
#include <string>

namespace Common {

/// A typed failure. `detail` is a sentence for people; programs decide by `code`.
struct Failure {
    ErrorCode code = ErrorCode::Internal;
    std::string detail;
    /// When a caller that was refused may come back.
    std::optional<Duration> retryAfter;
};

} // namespace Common
