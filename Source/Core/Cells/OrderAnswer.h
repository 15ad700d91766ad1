// What a worker said to an order.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Cells {

enum class OrderVerdict {
    Accepted,
    /// A newer owner has given orders.
    Fenced,
    /// The attempt isn't higher than one that was stopped or has ended there.
    StaleAttempt,
    /// The lease that the order carried had passed.
    OrderExpired,
    NoRoom,
    InvalidTicket,
    /// Another life of the worker answered.
    Rebooted,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker can't read the order.
    Malformed,
};

struct OrderAnswer {
    OrderVerdict verdict = OrderVerdict::Accepted;
    std::optional<Common::WorkerTime> clock;
};

} // namespace Cells
