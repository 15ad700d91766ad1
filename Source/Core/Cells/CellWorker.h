// One worker of a cell: what runs on it, what is left, and what it was granted.
#pragma once

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

/// A run occupies the worker from before its order is sent until its end is listed, or it surely can't run any more.
/// Invariant: `used()` is the sum of what the occupants hold.
class CellWorker {
public:
    explicit CellWorker(WorkerEntry entry);

    const WorkerEntry& entry() const { return m_entry; }
    const Common::WorkerId& id() const { return m_entry.id; }
    /// A new listing of the same life.
    void update(WorkerEntry entry);

    WorkerLease& lease() { return m_lease; }
    const WorkerLease& lease() const { return m_lease; }

    void addAllocation(const RunKey&, RunAllocation);
    void removeAllocation(const RunKey&);
    void clearAllocations();
    RunAllocation* find(const RunKey&);
    const std::map<RunKey, RunAllocation>& allocations() const { return m_allocations; }

    const Common::Resources& used() const { return m_used; }
    Common::Resources free() const;
    /// Processor time that the other runs leave unused, as far as is known, in thousandths of a core.
    int64_t unusedMilliCores() const;
    int64_t backfillMilliCores() const { return m_backfillMilliCores; }
    std::vector<Policy::PacedService> services() const;
    std::vector<Policy::PacedRun> backfillRuns() const;
    /// The services' tasks and the backfill runs there, as their pace is decided by.
    Policy::Colocation colocation() const { return { services(), backfillRuns(), recentBackfill.backfillShares() }; }
    bool serves() const;
    /// Adds what services hold, by image, in thousandths of a core.
    void addServing(std::map<std::string, int64_t>&) const;
    /// Share of the serving tasks that are of the image; 0 when none serves.
    double shareOfImage(const std::string& image) const;

    /// An end that was processed but isn't acknowledged to the worker yet.
    struct PendingEnd {
        uint64_t number = 0;
        Common::JobId job;
        /// The job's change that must be durable first; 0: nothing has to be.
        uint64_t change = 0;
    };
    std::deque<PendingEnd> pendingEnds;
    /// Ends up to this number have been processed.
    uint64_t processedThrough = 0;
    uint64_t acknowledgedThrough = 0;

    /// Listed by the platform and not leaving.
    bool listed = true;
    /// Answered the last look.
    bool reachable = false;
    /// Its lists were read since this owner took over.
    bool contacted = false;
    /// No new work before then, after it refused some.
    Common::MonotonicTime noStartsBefore;
    /// The life that was last heard from; 0: not told.
    int64_t startedAtMilliseconds = 0;
    Common::MonotonicTime lastReportAt;
    /// When a draining worker was first seen to be that.
    Common::MonotonicTime drainingSince;
    /// What backfill has used, as of the last report.
    Policy::SmoothedShares recentBackfill;
    /// Since when some service has been over its target without a break.
    std::optional<Common::MonotonicTime> overTargetSince;

private:
    WorkerEntry m_entry;
    WorkerLease m_lease;
    std::map<RunKey, RunAllocation> m_allocations;
    Common::Resources m_used;
    int64_t m_backfillMilliCores = 0;
};

} // namespace Cells
