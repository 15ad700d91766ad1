// Divides the workers of the fleet into cells. CellOwnership stores the layout; JobGateway looks up domains in it.
#pragma once

#include "Cells/CellId.h"
#include "Cells/WorkerEntry.h"
#include "Common/Ids.h"
#include "Common/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

/// All hosts use the same layout; it never changes once written to the store. All workers of a rack are in one cell.
class CellLayout {
public:
    struct DomainCells {
        uint32_t count = 1;
        /// Index of the cell of each rack that was known when the layout was made. Workers of other racks, and workers
        /// without a rack, are distributed by hash. Invariant: indices are below `count`.
        std::map<Common::RackId, uint32_t> racks;
    };

    CellLayout() = default;
    explicit CellLayout(std::map<Common::DomainId, DomainCells>);
    /// One cell for about `workersPerCell` workers of a domain, but no more cells than racks; each domain has at least
    /// one. Racks are distributed so that the cells of a domain have similar numbers of workers.
    static CellLayout forWorkers(
        const std::vector<Common::DomainId>& domains, const std::vector<WorkerEntry>&, uint32_t workersPerCell);

    bool empty() const { return m_domains.empty(); }
    std::vector<CellId> cells() const;
    CellId cellOf(const WorkerEntry&) const;
    Common::DomainId domainOf(const CellId&) const;

    std::string encode() const;
    /// Also reads layouts without racks, which releases before the distribution by size wrote.
    static Common::Result<CellLayout> decode(std::string_view text);

private:
    std::map<Common::DomainId, DomainCells> m_domains;
};

} // namespace Cells
