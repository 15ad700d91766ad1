// How full a cell is, as other hosts hear it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Jobs/StepSpec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cells {

struct CellLoad {
    /// Thousandths of a core of all workers that take work.
    int64_t capacityMilliCores = 0;
    int64_t freeMilliCores = 0;
    /// Unused processor time less what backfill runs would like of it; beside services only a part of it counts.
    int64_t backfillMilliCores = 0;
    /// Capacity of the workers of each service, and of those with each label; a worker's rack is one of its labels.
    std::map<std::string, int64_t> services;
    std::map<std::string, int64_t> labels;
    /// Held by long-running tasks that serve users, by image.
    std::map<std::string, int64_t> serving;
    /// What backfill could use without pressing a service too far, by image, as far as that is known.
    std::map<std::string, int64_t> backfillCapacity;
    /// Free thousandths of a core of the workers with the most room, the largest first.
    std::vector<int64_t> largestFreeMilliCores;
    /// Work that waits, in thousandths of a core times seconds.
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// Accepted jobs that no task of has started, by route.
    std::map<std::string, uint32_t> pending;

    /// Thousandths of a core of the workers on which tasks of the step may run, at most. A host of an earlier version
    /// doesn't tell services and labels: then all that it has.
    int64_t capacityFor(const Common::ServiceName&, const Jobs::StepSpec&) const;
    /// How many tasks of the step the roomiest workers have places for; 0 where none may run.
    size_t taskSlotsFor(const Common::ServiceName&, const Jobs::StepSpec&) const;
    /// The cell has workers on the rack; also when it doesn't tell.
    bool hasRack(const Common::RackId&) const;
};

} // namespace Cells
