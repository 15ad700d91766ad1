// How full a cell is, as other hosts hear it.
#pragma once

#include "Common/Units.h"

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
    /// Held by long-running tasks that serve users, by image.
    std::map<std::string, int64_t> serving;
    /// What backfill could use without pressing a service too far, by image, as far as that is known.
    std::map<std::string, int64_t> backfillRooms;
    /// Free thousandths of a core of the workers with the most room, the largest first.
    std::vector<int64_t> rooms;
    /// Work that waits, in thousandths of a core times seconds.
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// Accepted jobs that no task of has started, by route.
    std::map<std::string, uint32_t> pending;
};

} // namespace Cells
