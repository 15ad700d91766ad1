// Times and limits of a cell's owner.
#pragma once

#include "Cells/CommitterSettings.h"
#include "Common/Units.h"

namespace Cells {

struct CellSettings {
    CommitterSettings commits;
    /// Lease of the runs on a worker, from each order or look. Outlasts a takeover (peers' silence of 2 s, reading and
    /// asking the workers), so that runs survive their owner.
    Common::Duration runLease = std::chrono::seconds(6);
    /// The longest lease that any owner may have granted (the workers' own limit).
    Common::Duration longestLease = std::chrono::seconds(10);
    /// An owner that the store hasn't confirmed for this long grants nothing any more. Longer than the usual outages of
    /// the store.
    Common::Duration authority = std::chrono::seconds(9);
    /// How long a worker may keep a look waiting for an end. A quarter of the run lease, so that two may get lost.
    Common::Duration pollWait = std::chrono::milliseconds(1500);
    /// The same where backfill runs beside services that are near their target.
    Common::Duration frequentPollWait = std::chrono::milliseconds(500);
    /// Pause before the next look while ends wait for their commit; longer than a lazy commit takes.
    Common::Duration pollPauseAfterEnd = std::chrono::milliseconds(180);
    /// Between looks at workers without runs, to keep track of their clocks.
    Common::Duration idlePollInterval = std::chrono::seconds(5);
    /// An answer that takes longer than the asked wait and this is given up.
    Common::Duration answerTimeout = std::chrono::milliseconds(700);
    /// Pause after the first failed look; doubles up to `longestPollRetryPause`.
    Common::Duration firstPollRetryPause = std::chrono::milliseconds(100);
    Common::Duration longestPollRetryPause = std::chrono::seconds(1);
    /// Pause before an order without an answer is sent again.
    Common::Duration orderRetry = std::chrono::milliseconds(200);
    /// A worker that refused a task for want of room or health gets nothing for this long.
    Common::Duration refusalPause = std::chrono::milliseconds(600);
    /// Changes are gathered this long before the next round of starts.
    Common::Duration placementDelay = std::chrono::milliseconds(2);
    /// How long the state of a final job can be asked for.
    Common::Duration statusRetention = std::chrono::seconds(120);
    /// How many times as long a gang takes on several racks, where it is made for one.
    double spreadSlowdown = 2;
    /// Scheduled occurrences never start before their due time by this host's wall clock plus this.
    Common::Duration dueMargin = std::chrono::milliseconds(20);
};

} // namespace Cells
