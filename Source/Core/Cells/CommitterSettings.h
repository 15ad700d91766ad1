// Delays and timeouts of a cell's commits.
#pragma once

#include "Common/Units.h"

namespace Cells {

struct CommitterSettings {
    /// Delay before changes with a waiting caller are written, so that concurrent callers share a transaction.
    Common::Duration urgentCommitDelay = std::chrono::milliseconds(5);
    /// Delay before other changes are written. Workers keep the ends of runs until then, and a successor reads them
    /// from the workers.
    Common::Duration lazyCommitDelay = std::chrono::milliseconds(150);
    /// Time from a failed call's sending to the next call, and the least pause after its end. The time doubles up to
    /// `longestRetryPause`.
    Common::Duration firstRetryPause = std::chrono::milliseconds(100);
    Common::Duration longestRetryPause = std::chrono::seconds(1);
    /// The cell's record is rewritten again after this time without an answer, as the first call's connection may stay
    /// silent. Less than `acceptTimeoutWhileFailing`, so that submissions outlast it.
    Common::Duration rewriteRepeat = std::chrono::milliseconds(200);
    /// A submission that could not be written within this time is rejected, so that its caller can retry before its own
    /// deadline: about a third of the usual three seconds.
    Common::Duration acceptTimeout = std::chrono::milliseconds(900);
    /// The same limit while writes are already failing.
    Common::Duration acceptTimeoutWhileFailing = std::chrono::milliseconds(250);
    /// A caller gets OutcomeUnknown when the outcome of its write isn't known after this time.
    Common::Duration unknownOutcomeTimeout = std::chrono::milliseconds(400);
    /// Ownership that no write has confirmed for this long is confirmed by a read.
    Common::Duration confirmInterval = std::chrono::seconds(1);
    /// Time until the next read if that isn't answered: an outage of the store ends with it.
    Common::Duration confirmRetryInterval = std::chrono::milliseconds(500);
};

} // namespace Cells
