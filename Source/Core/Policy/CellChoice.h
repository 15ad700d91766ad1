// Chooses the cell that takes a new job, so that a burst that one cell can't hold goes to cells with room.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// A cell that could take the job. Amounts are in thousandths of a core; waiting work is in thousandths of a core times
/// seconds.
struct CellOffer {
    /// Capacity of the workers on which all steps of the job may run.
    int64_t capacity = 0;
    int64_t free = 0;
    int64_t backfill = 0;
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// Held by services of the job's image.
    int64_t sameImage = 0;
    /// What backfill of the job's image could use without pushing a service over its limit; negative: unknown.
    int64_t imageBackfillCapacity = -1;
    /// Breaks ties the same way on all hosts, 0 to 1.
    double tieBreak = 0;
    /// Share of the job's work whose data lies on racks of other cells.
    double farShare = 0;
    bool sameDomain = false;
    bool sameRegion = false;
};

/// What the job could use at once, in thousandths of a core.
struct JobDemand {
    int64_t regular = 0;
    int64_t backfill = 0;
    /// Its tasks are long-running and serve users.
    bool serves = false;
};

/// Returns the index of the cell with the most room relative to its size; nothing when no cell has workers. A service
/// goes to the cell that already runs most services of its image, as long as there is room: backfill that disturbs the
/// image then finds workers without it in other cells.
std::optional<size_t> chooseCell(const JobDemand&, const std::vector<CellOffer>&);

} // namespace Policy
