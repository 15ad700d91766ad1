// One worker of a cell: its allocations, free resources and lease. CellWorkers keeps one for each worker.
#pragma once

#include "Cells/CallsUnderWay.h"
#include "Cells/CellId.h"
#include "Cells/RunAllocation.h"
#include "Cells/WorkerEntry.h"
#include "Cells/WorkerLease.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Policy/BackfillPace.h"
#include "Policy/SmoothedShares.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cells {

struct CellSettings;

/// A run has an allocation from before its start order is sent until its end is reported or it provably can't run any
/// more. Invariant: `used()` is the sum of what the allocations hold.
class CellWorker {
public:
    CellWorker(WorkerEntry entry, const CellSettings&);

    /// The platform's entry, with the capacity as last known.
    const WorkerEntry& entry() const { return m_entry; }
    const Common::WorkerId& id() const { return m_entry.id; }
    /// Replaces the platform's entry of the worker; keeps allocations and lease. No effect if the entry is of an
    /// earlier life than the present entry.
    void update(WorkerEntry entry);
    /// Whether the entry is of the present life: a next life may be of another kind, and only its own entry says so.
    /// True if either life is unknown.
    bool hasOwnEntry() const;
    /// Whether runs may be started on it, as far as the platform's list and the last poll say.
    bool isOpen() const { return listed && !m_entry.draining && reachable && !probeOverdue && hasOwnEntry(); }
    /// Takes over the capacity that the worker reports. Entries of the list, which may be older, then only lower it
    /// until the next report.
    void updateCapacity(const Common::Resources&);
    /// Called after a reboot; the listed capacity counts until the next report.
    void forgetReportedCapacity();

    WorkerLease& lease() { return m_lease; }
    const WorkerLease& lease() const { return m_lease; }

    void addAllocation(const RunKey&, RunAllocation);
    void removeAllocation(const RunKey&);
    void clearAllocations();
    RunAllocation* find(const RunKey&);
    const std::map<RunKey, RunAllocation>& allocations() const { return m_allocations; }

    const Common::Resources& used() const { return m_used; }
    /// Zero of a resource of which the runs hold more than the capacity, which may shrink.
    Common::Resources free() const;
    /// The part of it that is open to tasks without a reservation: what is reserved still fits beside them once the
    /// runs that were there before the reservation have ended, except long-running ones.
    Common::Resources unreservedFree() const;
    /// The part of it that is open to the task.
    Common::Resources freeFor(const Jobs::TaskName&) const;
    /// What is left when all runs but long-running ones have ended and a reserved task has started.
    Common::Resources freeAfterEnds() const;
    /// Processor time, in thousandths of a core, that runs other than backfill are known to leave unused.
    int64_t unusedMilliCores() const;
    /// Processor time that the backfill runs declare, in thousandths of a core.
    int64_t backfillMilliCores() const { return m_backfillMilliCores; }
    std::vector<Policy::PacedService> services() const;
    std::vector<Policy::PacedRun> backfillRuns() const;
    /// Services and backfill runs on the worker; input for the choice of backfill paces.
    Policy::Colocation colocation() const { return { services(), backfillRuns(), recentBackfill.backfillShares() }; }
    /// Whether a task with a latency target runs on the worker.
    bool serves() const;
    /// Adds what serving tasks hold, by image, in thousandths of a core.
    void addServing(std::map<std::string, int64_t>&) const;
    /// Share of the serving tasks that run the image, 0 to 1; 0 if no task serves.
    double shareOfImage(const std::string& image) const;

    /// An end that was processed but isn't acknowledged to the worker yet.
    struct PendingEnd {
        uint64_t number = 0;
        Common::JobId job;
        /// The change of the job that must be durable first; 0 if none.
        uint64_t change = 0;
    };
    std::deque<PendingEnd> pendingEnds;
    /// Ends up to this number have been processed; 0 for none.
    uint64_t processedThrough = 0;
    /// Ends up to this number may be discarded by the worker; 0 for none.
    uint64_t acknowledgedThrough = 0;

    /// Those of this owner, to any life.
    CallsUnderWay callsUnderWay;

    /// Listed by the platform; a draining worker is listed too.
    bool listed = true;
    /// The platform has removed it from its list since this owner took the cell over. Excludes `listed`.
    bool unlisted = false;
    /// Whether it answered the last poll.
    bool reachable = false;
    /// It has left a probe unanswered for CellSettings::probeTimeout, and has answered nothing since.
    bool probeOverdue = false;
    /// Whether this owner has received a report from it since the takeover.
    bool contacted = false;
    /// See RecordedWorker.
    int64_t lateCallsEndMilliseconds = 0;
    /// Whether another worker that started later runs at its address, so that no life under this id does.
    bool replaced = false;
    /// Names the present life: sent with calls to it, which may carry a higher one later, and with none to a former
    /// one.
    FencingToken token;
    /// Whether the present life has answered a call that carried its token.
    bool answered = false;
    /// When the entry of the present life was last asked for; see hasOwnEntry().
    Common::MonotonicTime entryRequestedAt;
    /// No runs are started before this time, after the worker refused one or got its order too late.
    Common::MonotonicTime noStartsBefore;
    /// Wall clock of the worker's last known start, in milliseconds; 0 if unknown. A change means that it rebooted.
    int64_t startedAtMilliseconds = 0;
    Common::MonotonicTime lastReportAt;
    /// When this owner first saw the worker draining.
    Common::MonotonicTime drainingSince;
    /// Processor time that backfill used recently, as of the last report.
    Policy::SmoothedShares recentBackfill;
    /// Since when at least one service has been continuously over its target; empty if none is.
    std::optional<Common::MonotonicTime> overTargetSince;

    /// Keeps other tasks off the worker while a suspect of an earlier crash is new on it or is about to be started.
    struct Quarantine {
        Jobs::TaskName task;
        Common::MonotonicTime until;
        /// Other suspects don't share the worker either, also if they find no other.
        bool strict = false;
    };
    std::optional<Quarantine> quarantine;

    /// Keeps room for a task of a step that has waited for long, while runs on the worker end.
    struct Reservation {
        /// The first task of the step.
        Jobs::TaskName step;
        Common::Resources needed;
        Common::MonotonicTime since;
        /// Runs were stopped so that the room becomes free at once, or it is free already; nothing else starts in it.
        bool made = false;
        /// Set for room that was promised to tasks that wait in another cell: how long it is kept although they aren't
        /// here.
        std::optional<Common::MonotonicTime> promisedUntil;

        bool isFor(const Jobs::TaskName&) const;
    };
    std::optional<Reservation> reservation;

private:
    WorkerEntry m_entry;
    /// As in the last entry of the list.
    Common::Resources m_listedCapacity;
    bool m_reportsCapacity = false;
    WorkerLease m_lease;
    std::map<RunKey, RunAllocation> m_allocations;
    Common::Resources m_used;
    int64_t m_backfillMilliCores = 0;
};

} // namespace Cells
