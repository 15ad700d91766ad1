// Decides at which pace a waiting backfill task may start beside services that it disturbs.
#pragma once

#include "Common/Units.h"

#include <chrono>

namespace Policy {

/// A backfill task that has waited this long starts at any pace on a worker that would have room for it if it weren't
/// backfill; while the service's workers are lightly loaded, it shares that room with other backfill. The wait is
/// bounded by the 11 s in which users expect an accepted job to have something running.
constexpr Common::Duration longestBackfillWait = std::chrono::seconds(8);

/// The same for a task of a job of which nothing runs, while the workers are lightly loaded: users expect such a job to
/// have something running within 3 s.
constexpr Common::Duration longestWaitOfIdleJob = std::chrono::seconds(2);

/// What a waiting backfill task asks of a worker. As long as it meets the usual pace it runs on processor time that
/// others leave unused. Below that pace it needs room that isn't allocated, as an ordinary task does: on a full worker
/// it would only take from backfill that can still work at the usual pace.
struct BackfillAdmission {
    /// Pace, 0 to 1, at which the task starts also where all processor time is allocated.
    double usualPace = 0;
    /// Pace at which it starts where processor time is free.
    double paceInFreeRoom = 0;
    /// Whether processor time counts as free that other backfill uses.
    bool besideOtherBackfill = false;

    /// Whether each worker that the other admission allows is allowed by this one.
    bool covers(const BackfillAdmission& other) const
    {
        return usualPace <= other.usualPace && paceInFreeRoom <= other.paceInFreeRoom
            && (besideOtherBackfill || !other.besideOtherBackfill);
    }
};

/// The workers of a service are lightly loaded while at least this share of their processor time isn't allocated.
constexpr double lightLoadFreeShare = 0.5;

struct BackfillWait {
    /// How long the task's step has waited without a start.
    Common::Duration waited {};
    /// Run time of the task at full speed.
    Common::Duration estimate {};
    bool lightlyLoaded = false;
    /// Whether no task of the job runs in the cell.
    bool jobIdle = false;
};

BackfillAdmission admitBackfill(const BackfillWait&);

} // namespace Policy
