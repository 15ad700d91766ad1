// Cancellations that callers have sent to this host and that haven't taken effect yet. JobGateway attempts them.
#pragma once

#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Scheduler {
class Runtime;
}

namespace Cells {

/// A cancellation is attempted until the job's cell confirms it, also after its callers' time is over: the cell may
/// have no owner yet, or the owner may not answer. Callers of the same job share the attempts.
class PendingCancellations {
public:
    /// Cancels the job once. Done or UnknownJob end the cancellation; after any other failure it is attempted again.
    using Attempt = std::function<void(const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>)>;

    PendingCancellations(Scheduler::Runtime&, Attempt);

    /// Done once an attempt succeeded. UnknownJob: there is no such job. OutcomeUnknown: the timeout is over, the
    /// cancellation goes on. Overloaded: it was not begun, since too many are pending.
    void add(const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    size_t size() const { return m_cancellations.size(); }

private:
    struct Caller {
        uint64_t number = 0;
        /// The attempt that began first after the call; the outcome of an earlier one may be older than the job.
        uint32_t firstAttempt = 0;
        Common::Callback<Common::Done> callback;
    };
    /// Callers whose time is over are removed.
    struct Cancellation {
        std::vector<Caller> callers;
        /// When a caller last asked for it.
        Common::MonotonicTime lastCallAt;
        /// Pause after the last attempt.
        Common::Duration pause {};
        uint32_t attempts = 0;
    };
    enum class End {
        Done,
        UnknownJob,
        GivenUp,
    };

    void attempt(const Common::JobId&);
    void onAttempted(const Common::JobId&, const Common::Result<Common::Done>&);
    void expireCaller(const Common::JobId&, uint64_t number);
    void retryAfter(const Common::JobId&, Common::Duration pause);
    void end(const Common::JobId&, End, const Common::Result<Common::Done>&);

    Scheduler::Runtime& m_runtime;
    Attempt m_attempt;
    std::map<Common::JobId, Cancellation> m_cancellations;
    uint64_t m_calls = 0;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
