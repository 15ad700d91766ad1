// Times and limits that CellEngine and CellWorkers use.
#pragma once

#include "Cells/CommitterSettings.h"
#include "Common/Units.h"

namespace Cells {

struct CellSettings {
    CommitterSettings commits;
    /// Lease of the runs on a worker, renewed by each start order and poll. Longer than a takeover (a host timeout of
    /// 2 s, reading the cell and polling the workers), so that runs survive the failure of their owner.
    Common::Duration runLease = std::chrono::seconds(6);
    /// The longest lease that workers accept, and so the longest that any owner may have granted.
    Common::Duration longestLease = std::chrono::seconds(10);
    /// A call without an answer is carried out within this time or never.
    Common::Duration longestCallDelay = std::chrono::milliseconds(12100);
    /// An owner whose last confirmation by the store is older than this starts nothing, and all leases that it has
    /// granted have ended. So runs survive outages of the store that are shorter, less `confirmInterval` and a retry,
    /// and a successor waits that long for workers that it can't reach.
    Common::Duration authority = std::chrono::seconds(8);
    /// No run is started on a shorter lease: the order may arrive after its end, and the run would end soon.
    Common::Duration shortestStartLease = std::chrono::seconds(1);
    /// How long a worker may hold a poll open while no run ends. A quarter of the run lease, so that two polls may be
    /// lost.
    Common::Duration pollWait = std::chrono::milliseconds(1500);
    /// The least wait of a poll that grants a shorter lease, as near the end of the authority, so that workers aren't
    /// polled without a pause.
    Common::Duration shortestPollWait = std::chrono::milliseconds(250);
    /// The same for a worker that runs both backfill and services, whose backfill pace is adjusted from each report.
    Common::Duration frequentPollWait = std::chrono::milliseconds(500);
    /// Pause before the next poll while ends wait for their commit; longer than a lazy commit takes.
    Common::Duration pollPauseAfterEnd = std::chrono::milliseconds(180);
    /// Time between polls of workers without runs; these keep track of the workers' clocks.
    Common::Duration idlePollInterval = std::chrono::seconds(5);
    /// A request has timed out when its answer takes longer than the requested wait plus this.
    Common::Duration answerTimeout = std::chrono::milliseconds(700);
    /// How much longer than that a poll may take while this host is late in reading answers.
    Common::Duration longestExtraTime = std::chrono::seconds(5);
    /// Pause after the first failed poll; doubles up to `longestPollRetryPause`.
    Common::Duration firstPollRetryPause = std::chrono::milliseconds(100);
    Common::Duration longestPollRetryPause = std::chrono::seconds(1);
    /// A worker whose last answer is older is probed before it gets a start order. It may be gone, and an order without
    /// an answer keeps its task from starting elsewhere for `longestCallDelay` and more. Bounds the probes of a worker.
    Common::Duration answerAgeAtStart = std::chrono::milliseconds(500);
    /// The same for long-running tasks, which are few. Covers the tasks of one placement.
    Common::Duration answerAgeAtLongRunningStart = std::chrono::milliseconds(50);
    /// Time that the answer to a probe may take; then the order is withdrawn.
    Common::Duration probeTimeout = std::chrono::milliseconds(300);
    /// Pause before an unanswered order is sent again.
    Common::Duration orderRetry = std::chrono::milliseconds(200);
    /// A worker that refused a task because it was full or unhealthy gets no starts for this long.
    Common::Duration refusalPause = std::chrono::milliseconds(600);
    /// Delay between a change and the placement of tasks, so that one placement covers several changes.
    Common::Duration placementDelay = std::chrono::milliseconds(2);
    /// How long the state of a final job can be queried at least.
    Common::Duration statusRetention = std::chrono::seconds(120);
    /// Factor by which a gang's run time grows when its members are on several racks.
    double spreadSlowdown = 2;
    /// Scheduled occurrences never start before their due time by this host's wall clock plus this.
    Common::Duration dueMargin = std::chrono::milliseconds(20);
};

} // namespace Cells
