// Load and capacity of a cell, as heartbeats report it to other hosts.
#pragma once

#include "Cells/ServiceRoom.h"
#include "Cells/WantedRoom.h"
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
    /// Thousandths of a core of all workers that accept runs, and the part of it that isn't allocated.
    int64_t capacityMilliCores = 0;
    int64_t freeMilliCores = 0;
    /// Unused processor time minus what backfill runs declare, in thousandths of a core. On workers with services only
    /// a part of it counts.
    int64_t backfillMilliCores = 0;
    /// Capacity, in thousandths of a core, of the workers of each service, and of those with each label; a worker's
    /// rack is one of its labels. Both are empty in heartbeats of hosts of an earlier version.
    std::map<std::string, int64_t> services;
    std::map<std::string, int64_t> labels;
    /// Thousandths of a core held by long-running tasks that serve users, by image.
    std::map<std::string, int64_t> serving;
    /// Thousandths of a core that backfill of each known image could use without pushing a service over its target.
    std::map<std::string, int64_t> backfillCapacity;
    /// Free thousandths of a core of the workers with the most free processor time, largest first.
    std::vector<int64_t> largestFreeMilliCores;
    /// The same once all runs but long-running ones have ended. Empty in heartbeats of hosts of an earlier version.
    std::vector<int64_t> largestFreeAfterEnds;
    /// Estimated work of waiting tasks, in thousandths of a core times seconds.
    int64_t waitingRegular = 0;
    int64_t waitingBackfill = 0;
    /// Number of accepted jobs of which no task has started, by route.
    std::map<std::string, uint32_t> pending;
    /// Steps that want room in other cells, random ones if there are many. Empty in heartbeats of hosts of an earlier
    /// version.
    std::vector<WantedRoom> wantedRoom;
    /// Whether the owner can hold tasks of another cell's scheduled job. One of an earlier version would open all due
    /// occurrences of the job itself.
    bool takesScheduledTasks = false;

    /// Upper bound, in thousandths of a core, of the capacity of the workers on which tasks of the step may run. A host
    /// of an earlier version reports no services and labels; the result is then the whole capacity.
    int64_t capacityFor(const Common::ServiceName&, const Jobs::StepSpec&) const;
    enum class RoomKind {
        Free,
        /// Also room that is made by the ends of runs that aren't long-running.
        AfterEnds,
    };
    /// Number of tasks of the step that fit on the workers of `largestFreeMilliCores`, or for backfill into the
    /// capacity for its image; 0 if none may run in the cell.
    size_t taskSlotsFor(const Common::ServiceName&, const Jobs::StepSpec&, RoomKind = RoomKind::Free) const;
    /// Room by service; a cell's free processor time counts for its services by their shares of the capacity.
    ServiceRooms serviceRooms() const;
    /// Whether the cell has workers on the rack; true if its heartbeat doesn't report labels.
    bool hasRack(const Common::RackId&) const;
};

} // namespace Cells
