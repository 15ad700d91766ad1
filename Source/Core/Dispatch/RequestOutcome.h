// The final outcome of a request.
#pragma once

#include "Common/Failure.h"

#include <functional>
#include <string>
#include <variant>

namespace Dispatch {

/// The complete answer to the request.
struct Answered {
    std::string contentType;
    std::string body;
};

/// The work provably did not run; the failure may say when to retry.
struct NotRun {
    Common::Failure reason;
};

/// The work may have run, or may still be running.
struct OutcomeUnknown {
    Common::Failure reason;
};

using RequestOutcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/// Called exactly once for each request.
using OutcomeCallback = std::function<void(const RequestOutcome&)>;

} // namespace Dispatch
