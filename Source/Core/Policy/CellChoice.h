// Which cell takes a new job. The load it answers: bursts that one cell can't hold while others have room.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// A cell that could take the job. Amounts in thousandths of a core, or those times seconds of waiting work.
struct CellOffer {
    /// Of the workers on which all steps of the job may run.
    int64_t capacity = 0;
    int64_t free = 0;
    int64_t backfill = 0;
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// Held by services of the job's image.
    int64_t sameImage = 0;
    /// What backfill of the job's image could use without pressing a service too far; negative: not known.
    int64_t imageRoom = -1;
    /// Breaks ties alike on all hosts, 0 to 1.
    double tieBreak = 0;
    /// Share of the job's work whose data lies on racks of other cells.
    double farShare = 0;
    bool sameDomain = false;
    bool sameRegion = false;
};

/// What the job would like to have at once.
struct JobDemand {
    int64_t regular = 0;
    int64_t backfill = 0;
    /// Its tasks serve users for long.
    bool serves = false;
};

/// The index of the cell with the most room for its size; nothing when no cell has workers. Services go where most of
/// their image are already, as long as there is room: backfill that disturbs one image finds workers without it
/// elsewhere.
std::optional<size_t> chooseCell(const JobDemand&, const std::vector<CellOffer>&);

} // namespace Policy
