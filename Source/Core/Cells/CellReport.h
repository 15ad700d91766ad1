// What the owner of a cell tells hosts that may own cells: the cell's load, and now and then its pressure estimates.
#pragma once

#include "Cells/GossipFrame.h"
#include "Cells/HostHeartbeat.h"
#include "Common/Ids.h"
#include "Common/Result.h"

#include <cstdint>
#include <string>

namespace Cells {

struct CellReport {
    Common::DaemonId owner;
    HostHeartbeat::OwnedCell cell;
    /// Grows with each report of the owner.
    uint64_t version = 0;

    /// The report as a frame. Pressure estimates that don't fit into it are left out.
    std::string encode() const;
    static Common::Result<CellReport> decode(const GossipFrame&);
};

} // namespace Cells
