// Interface through which CellWorkers sends orders and polls to workers.
#pragma once

#include "Cells/CellId.h"
#include "Cells/OrderAnswer.h"
#include "Cells/RunOrder.h"
#include "Cells/RunReport.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <optional>
#include <string>

namespace Cells {

/// The worker that receives an order.
struct WorkerTarget {
    Common::WorkerId id;
    std::string address;
};

/// Failures: ConnectFailed means that the order had no effect; Timeout and ConnectionLost mean that it may have been
/// carried out, or may still be, seconds later.
class WorkerOrders {
public:
    virtual ~WorkerOrders() = default;

    /// Starts a run; accepted also if the run exists already. Extends the lease of all runs on the worker to
    /// `leaseUntil` on its clock; a lease is never shortened.
    virtual void start(const WorkerTarget&, FencingToken, const RunOrder&, Common::WorkerTime leaseUntil,
        Common::Callback<OrderAnswer>)
        = 0;
    /// Stops a run. If the run doesn't exist, the worker rejects later starts of this attempt.
    virtual void stop(
        const WorkerTarget&, FencingToken, const Jobs::TaskName&, Common::AttemptNumber, Common::Callback<OrderAnswer>)
        = 0;
    /// Sets the share of its speed at which a run works, 0 to 100 percent.
    virtual void pace(const WorkerTarget&, FencingToken, const Jobs::TaskName&, Common::AttemptNumber, uint32_t percent,
        Common::Callback<OrderAnswer>)
        = 0;

    struct PollRequest {
        FencingToken token;
        /// The worker discards ends up to this number; 0 for none.
        uint64_t acknowledgedThrough = 0;
        /// Empty: the lease isn't extended.
        std::optional<Common::WorkerTime> leaseUntil;
        /// How long the worker may hold the poll open; it answers as soon as a run ends. Zero: it answers at once.
        Common::Duration wait {};
        /// Time that the answer may take beyond the usual timeout.
        Common::Duration extraTime {};
    };
    /// Raises the worker's fencing token, extends its lease and reads its runs. Errors besides those above: NotOwner if
    /// the worker has received a higher token, WorkerRebooted if it has rebooted.
    virtual void pollRuns(const WorkerTarget&, const PollRequest&, Common::Callback<RunReport>) = 0;
};

} // namespace Cells
