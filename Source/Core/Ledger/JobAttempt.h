// One attempt at a job.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace Ledger {

/// How an attempt stands or ended.
enum class AttemptEnd {
    /// Intended; not yet resolved.
    Open,
    Finished,
    Failed,
    Evicted,
    Cancelled,
    /// Proved not to have started.
    NotStarted,
    /// Gone without a known end.
    Lost,
};

struct JobAttempt {
    Common::AttemptNumber number;
    Common::WorkerId worker;
    Common::WorkerBootId boot;
    Common::WorkerTime startBy;
    /// The daemon that owned the worker when room was reserved.
    Common::DaemonId workerOwner;
    AttemptEnd end = AttemptEnd::Open;
};

std::string_view attemptEndName(AttemptEnd);
std::optional<AttemptEnd> attemptEndFromName(std::string_view);

} // namespace Ledger
