// The one final outcome of a request.
#pragma once

#include "Common/Failure.h"

#include <functional>
#include <string>
#include <variant>

namespace Dispatch {

/// The whole answer to the caller's own request.
struct Answered {
    std::string contentType;
    std::string body;
};

/// The work provably did not run; the failure says when to come back.
struct NotRun {
    Common::Failure reason;
};

/// The work may have run, or is running.
struct OutcomeUnknown {
    Common::Failure reason;
};

using RequestOutcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/// Called exactly once for each request.
using OutcomeCallback = std::function<void(const RequestOutcome&)>;

} // namespace Dispatch
