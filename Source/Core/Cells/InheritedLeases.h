// Until when workers that haven't reported to the owner of a cell may hold leases of earlier owners: how long a
// successor waits for workers that it can't reach.
#pragma once

#include "Common/Units.h"

namespace Cells {

struct CellRecord;
struct CellSettings;

/// Invariant: no lease of an earlier owner ends after `end()` on the life of the worker for which it was granted, on
/// however slow a clock. What late calls give to a next life is in WorkerLease.
class InheritedLeases {
public:
    /// Those of a cell that was claimed with that record. `claimedAt`: when the store had confirmed the claim, or
    /// later; it has confirmed no earlier owner since.
    static InheritedLeases ofClaim(const CellRecord&, Common::MonotonicTime claimedAt, const CellSettings&);
    /// Those of a cell whose earlier owners have granted none since that time.
    static InheritedLeases ofStoppedOwners(Common::MonotonicTime stoppedAt, const CellSettings&);

    Common::MonotonicTime end() const { return m_end; }
    /// The earlier owners grant no leases after that time.
    void ownersStopped(Common::MonotonicTime, const CellSettings&);

private:
    explicit InheritedLeases(Common::MonotonicTime end)
        : m_end(end)
    {
    }

    Common::MonotonicTime m_end;
};

} // namespace Cells
