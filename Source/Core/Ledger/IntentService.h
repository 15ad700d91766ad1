// At-most-once requests: a durable intent before the one dispatch.
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

/// Serves the shards that this process owns; whoever receives a request sends it to ShardOwners::assignedOwner(
/// ShardOwners::shardOf(id)).
class IntentService {
public:
    /// The intent is durable: dispatch now, once, then call finish().
    struct Fresh { };
    /// An earlier begin() of this id was dispatched here and answered.
    struct Answered {
        Scheduler::RunAnswer answer;
    };
    /// The earlier run that this call joined did not run after all; the caller may come back.
    struct NotRun {
        Common::Failure reason;
    };
    /// An earlier run may have happened, or did and its answer is no longer kept. Never run again.
    struct Unknown { };

    using Verdict = std::variant<Fresh, Answered, NotRun, Unknown>;
    using Outcome = std::variant<Scheduler::RunAnswer, NotRun, Unknown>;
    using Callback = Common::Callback<Verdict>;

    IntentService(const Scheduler::ServiceContext&, ShardOwners&, const LedgerSettings&);
    ~IntentService();

    /// Each failure proves that this call started nothing: NotOwner, StoreUnavailable (within acceptTimeout) and
    /// Overloaded. A repeat of an id that is under way waits and gets that run's outcome instead of Fresh.
    void begin(const Common::RequestId&, Callback);
    /// Ends the run that begin() answered with Fresh. NotRun removes the intent, so that a repeat may run.
    void finish(const Common::RequestId&, const Outcome&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
