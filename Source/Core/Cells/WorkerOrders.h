// Orders to workers.
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

/// Which worker an order is for.
struct WorkerTarget {
    Common::WorkerId id;
    std::string address;
};

/// Failures: ConnectFailed means that nothing was done; Timeout and ConnectionLost that the order may have been carried
/// out, or may be seconds later.
class WorkerOrders {
public:
    virtual ~WorkerOrders() = default;

    /// Starts a run, or finds that it is there. Everything that runs on the worker may run until `leaseUntil` on its
    /// clock; that is never shortened.
    virtual void start(const WorkerTarget&, FencingToken, const RunOrder&, Common::WorkerTime leaseUntil,
        Common::Callback<OrderAnswer>)
        = 0;
    /// Ends a run. One that isn't there can't start any more.
    virtual void stop(
        const WorkerTarget&, FencingToken, const Jobs::TaskName&, Common::AttemptNumber, Common::Callback<OrderAnswer>)
        = 0;
    /// Lets a run work at that share of its speed, 0 to 100.
    virtual void pace(const WorkerTarget&, FencingToken, const Jobs::TaskName&, Common::AttemptNumber, uint32_t percent,
        Common::Callback<OrderAnswer>)
        = 0;

    struct PollRequest {
        FencingToken token;
        /// Ends up to this number are forgotten by the worker.
        uint64_t acknowledgedThrough = 0;
        std::optional<Common::WorkerTime> leaseUntil;
        /// The worker answers earlier when a run ends.
        Common::Duration wait {};
    };
    /// Raises the worker's token, extends its lease and reads its runs. NotOwner: a newer owner has given orders;
    /// WorkerRebooted: another life answered.
    virtual void pollRuns(const WorkerTarget&, const PollRequest&, Common::Callback<RunReport>) = 0;
};

} // namespace Cells
