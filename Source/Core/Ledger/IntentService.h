// Runs requests at most once: makes an intent durable before the only dispatch. The request service calls it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/ShardIndex.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/ServiceContext.h"

#include <memory>
#include <variant>

namespace Ledger {

class ShardOwners;

/// Serves the shards that this process owns. The receiver of a request forwards it to
/// ShardOwners::assignedOwner(ShardOwners::shardOf(id)).
class IntentService {
public:
    /// The intent is durable. The caller dispatches the request once, then calls finish().
    struct Fresh { };
    /// An earlier begin() of this id was dispatched here, and its answer is still kept.
    struct Answered {
        Scheduler::RunAnswer answer;
    };
    /// The run that this call joined did not take place; the caller may retry.
    struct NotRun {
        Common::Failure reason;
    };
    /// An earlier run may have taken place, or its answer is no longer kept. The request never runs again.
    struct Unknown { };

    using Verdict = std::variant<Fresh, Answered, NotRun, Unknown>;
    using Outcome = std::variant<Scheduler::RunAnswer, NotRun, Unknown>;
    using Callback = Common::Callback<Verdict>;

    IntentService(const Scheduler::ServiceContext&, ShardOwners&, const LedgerSettings&);
    ~IntentService();

    /// Makes the intent durable. Fails with NotOwner, Overloaded, or StoreUnavailable after
    /// LedgerSettings::acceptTimeout; each failure proves that this call started nothing. A repeat of an id whose run
    /// is in progress waits and gets the outcome of that run instead of Fresh.
    void begin(const Common::RequestId&, Callback);
    /// Ends the run for which begin() yielded Fresh. NotRun removes the intent, so that a repeat may run.
    void finish(const Common::RequestId&, const Outcome&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
