// The longest leases that earlier owners of a cell can have granted.
#include "Cells/InheritedLeases.h"

#include "Cells/CellRecord.h"
#include "Cells/CellSettings.h"
#include "Cells/WorkerLease.h"

#include <algorithm>

namespace Cells {

InheritedLeases InheritedLeases::ofClaim(
    const CellRecord& record, Common::MonotonicTime claimedAt, const CellSettings& settings)
{
    const Common::Duration lostBySlowClock = WorkerLease::onSlowestClock(settings.runLease) - settings.runLease;
    return InheritedLeases(claimedAt + record.leaseHorizon + lostBySlowClock);
}

InheritedLeases InheritedLeases::ofStoppedOwners(Common::MonotonicTime stoppedAt, const CellSettings& settings)
{
    return InheritedLeases(stoppedAt + WorkerLease::onSlowestClock(settings.runLease));
}

void InheritedLeases::ownersStopped(Common::MonotonicTime time, const CellSettings& settings)
{
    m_end = std::min(m_end, ofStoppedOwners(time, settings).m_end);
}

} // namespace Cells
