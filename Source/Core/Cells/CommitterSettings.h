// Pace of a cell's commits.
#pragma once

#include "Common/Units.h"

namespace Cells {

struct CommitterSettings {
    /// Changes that somebody waits for are gathered this long, so that callers who come together share a write.
    Common::Duration urgentCommitDelay = std::chrono::milliseconds(5);
    /// Other changes wait this long: workers keep ends until then, and a successor reads them there.
    Common::Duration lazyCommitDelay = std::chrono::milliseconds(150);
    /// Pause after a call that did nothing; doubles up to `longestRetryPause`.
    Common::Duration firstRetryPause = std::chrono::milliseconds(100);
    Common::Duration longestRetryPause = std::chrono::seconds(1);
    /// A submission that could not be written for this long is refused, so that its caller can come back within its
    /// time: a third of the usual three seconds.
    Common::Duration acceptTimeout = std::chrono::milliseconds(900);
    /// The same while writes are failing already.
    Common::Duration acceptTimeoutWhileFailing = std::chrono::milliseconds(250);
    /// A caller hears "unknown" when the fate of its write isn't known after this long.
    Common::Duration unknownOutcomeTimeout = std::chrono::milliseconds(400);
    /// How often ownership is confirmed when nothing else is written.
    Common::Duration confirmInterval = std::chrono::seconds(2);
};

} // namespace Cells
