// What became of a start, stop or pace order: the worker's answer, or that the order was withdrawn.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Cells {

enum class OrderVerdict {
    /// The order was carried out, or had been carried out before.
    Accepted,
    /// The worker has received orders with a higher fencing token.
    Fenced,
    /// The worker has stopped or ended this attempt of the task, or a later one.
    StaleAttempt,
    /// The lease in the order had expired when it arrived.
    OrderExpired,
    /// The worker is full.
    NoRoom,
    /// The worker rejected the ticket of the order; see RunOrder::ticket.
    InvalidTicket,
    /// The worker has rebooted since the order was issued.
    Rebooted,
    /// The worker is unhealthy and ignored the order.
    Unhealthy,
    /// The worker can't read the order.
    Malformed,
    /// Not the worker's answer: a start order isn't sent, or not sent again, as the worker is about to leave. If it was
    /// sent before, that copy may still be carried out.
    Withdrawn,
};

struct OrderAnswer {
    OrderVerdict verdict = OrderVerdict::Accepted;
    /// The worker's clock when it answered; empty if not reported.
    std::optional<Common::WorkerTime> clock;
};

} // namespace Cells
