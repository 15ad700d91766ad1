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
    CellLayout() = default;
    explicit CellLayout(std::map<Common::DomainId, uint32_t> cellsPerDomain);
    /// One cell for about `workersPerCell` workers of a domain; each domain has at least one.
    static CellLayout forWorkers(
        const std::vector<Common::DomainId>& domains, const std::vector<WorkerEntry>&, uint32_t workersPerCell);

    bool empty() const { return m_cellsPerDomain.empty(); }
    std::vector<CellId> cells() const;
    CellId cellOf(const WorkerEntry&) const;
    Common::DomainId domainOf(const CellId&) const;

    std::string encode() const;
    static Common::Result<CellLayout> decode(std::string_view text);

private:
    std::map<Common::DomainId, uint32_t> m_cellsPerDomain;
};

} // namespace Cells
