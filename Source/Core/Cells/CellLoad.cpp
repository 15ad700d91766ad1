// Capacity of a cell for the tasks of a step.
#include "Cells/CellLoad.h"

#include <algorithm>

namespace Cells {

int64_t CellLoad::capacityFor(const Common::ServiceName& service, const Jobs::StepSpec& spec) const
{
    if (services.empty())
        return capacityMilliCores;
    const auto ofService = services.find(service.value());
    if (ofService == services.end())
        return 0;
    if (spec.requiredLabel.empty())
        return ofService->second;
    const auto ofLabel = labels.find(spec.requiredLabel);
    return ofLabel == labels.end() ? 0 : std::min(ofService->second, ofLabel->second);
}

size_t CellLoad::taskSlotsFor(const Common::ServiceName& service, const Jobs::StepSpec& spec, RoomKind kind) const
{
    if (capacityFor(service, spec) <= 0)
        return 0;
    if (spec.backfill) {
        const auto forImage = backfillCapacity.find(spec.image);
        const int64_t room = forImage == backfillCapacity.end() ? backfillMilliCores : forImage->second;
        return static_cast<size_t>(std::max<int64_t>(room, 0) / std::max<int64_t>(spec.resources.milliCores, 1));
    }
    size_t slots = 0;
    for (const int64_t free : kind == RoomKind::Free ? largestFreeMilliCores : largestFreeAfterEnds) {
        const auto count
            = static_cast<size_t>(std::max<int64_t>(free, 0) / std::max<int64_t>(spec.resources.milliCores, 1));
        slots += spec.maximumPerWorker > 0 ? std::min<size_t>(count, spec.maximumPerWorker) : count;
    }
    return slots;
}

ServiceRooms CellLoad::serviceRooms() const
{
    ServiceRooms rooms;
    for (const auto& [service, capacity] : services) {
        const double share
            = static_cast<double>(capacity) / static_cast<double>(std::max<int64_t>(capacityMilliCores, 1));
        rooms[Common::ServiceName(service)]
            = { capacity, static_cast<int64_t>(share * static_cast<double>(freeMilliCores)) };
    }
    return rooms;
}

bool CellLoad::hasRack(const Common::RackId& rack) const { return services.empty() || labels.contains(rack.value()); }

} // namespace Cells
