// One attempt to run a job, as the log and status answers hold it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Ledger {

/// How an attempt ended. The values are stored as numbers and keep their order.
enum class AttemptEnd {
    /// The intent is durable; the attempt is not resolved yet.
    Open,
    Finished,
    Failed,
    Evicted,
    Cancelled,
    /// Proven not to have started.
    NotStarted,
    /// Ended without a known result.
    Lost,
};

struct JobAttempt {
    Common::AttemptNumber number;
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime startBy;
    /// The daemon that owned the worker when the reservation was made.
    Common::DaemonId workerOwner;
    AttemptEnd end = AttemptEnd::Open;
};

std::string_view attemptEndName(AttemptEnd);
std::optional<AttemptEnd> attemptEndFromName(std::string_view);

} // namespace Ledger
