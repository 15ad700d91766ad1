// Which cell takes a new job. The load it answers: bursts that one cell can't hold while others have room.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// A cell that could take the job. Amounts in thousandths of a core, or those times seconds of waiting work.
struct CellOffer {
    int64_t capacity = 0;
    int64_t free = 0;
    int64_t backfill = 0;
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// The job's data lies there, or nowhere in particular.
    bool nearData = true;
    bool sameDomain = false;
    bool sameRegion = false;
};

/// What the job would like to have at once.
struct JobDemand {
    int64_t regular = 0;
    int64_t backfill = 0;
};

/// The index of the cell with the most room for its size; nothing when no cell has workers.
std::optional<size_t> chooseCell(const JobDemand&, const std::vector<CellOffer>&);

} // namespace Policy
