// The volatile state of a job in its owner, besides the durable record. A successor rebuilds it from workers' views.
#pragma once

#include "Common/Result.h"
#include "Common/Units.h"
#include "Ledger/LedgerLog.h"
#include "Scheduler/Reservation.h"

#include <optional>
#include <string>
#include <vector>

namespace Ledger {

struct LiveJob {
    enum class Phase {
        Queued,
        Reserving,
        /// The commit of the intent is in progress.
        Intending,
        /// The intent is durable; no view has shown the task yet.
        Starting,
        Running,
        /// Being evicted: waits for a new checkpoint, then for the task to stop.
        Checkpointing,
        Stopping,
    };
    Phase phase = Phase::Queued;
    /// The commit of the end of the attempt or job is in progress; until it completes no other decision is made.
    bool ending = false;
    bool cancelling = false;
    /// The job's resources are charged to its team's quota.
    bool quotaCharged = false;
    std::optional<Scheduler::Reservation> reservation;
    /// Ticket of the intent whose commit is in progress.
    LedgerLog::Ticket intent;
    Common::MonotonicTime runningSince {};
    /// Consecutive checks, at least a second apart, without a view of the worker while its domain was reachable. Counts
    /// checks instead of time, because a paused process makes no checks while views are waiting for it.
    uint32_t silentChecks = 0;
    /// When views began to show another boot of the worker, without a view of the attempt's boot since.
    std::optional<Common::MonotonicTime> otherBootSince;
    Common::MonotonicTime nextControl {};
    Common::MonotonicTime evictCheckpointUntil {};
    bool recordingCheckpoint = false;
    Common::MonotonicTime nextCheckpointRecord {};
    std::vector<Common::Callback<Common::Done>> cancelWaiters;
};

} // namespace Ledger
