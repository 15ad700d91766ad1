// What an owner knows of a job beyond its record; lost with the owner.
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
        /// The attempt is on its way to the log.
        Intending,
        /// The attempt is durable; no view has shown it yet.
        Starting,
        Running,
        /// Being evicted: waits for a new checkpoint, then for the stop.
        Checkpointing,
        Stopping,
    };
    Phase phase = Phase::Queued;
    /// The end of the attempt or job is on its way to the log: nothing else may be decided.
    bool ending = false;
    bool cancelling = false;
    /// Holds part of its team's quota.
    bool counted = false;
    std::optional<Scheduler::Reservation> reservation;
    /// Of the attempt that is on its way to the log.
    LedgerLog::Ticket intent;
    Common::MonotonicTime runningSince {};
    /// Rounds in a row, a second or more apart, without a view of the worker while its domain was heard. Rounds and not
    /// time: a process that was paused has counted none, though views wait for it.
    uint32_t silentRounds = 0;
    /// Since when views show another boot of the worker, without one of the attempt's boot between.
    std::optional<Common::MonotonicTime> otherBootSince;
    Common::MonotonicTime nextControl {};
    Common::MonotonicTime evictCheckpointUntil {};
    bool recordingCheckpoint = false;
    Common::MonotonicTime nextCheckpointRecord {};
    std::vector<Common::Callback<Common::Done>> cancelWaiters;
};

} // namespace Ledger
