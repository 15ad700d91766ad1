// What a host tells all others about itself, several times a second.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellLoad.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Policy/TailLatencyModel.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

struct HostHeartbeat {
    struct OwnedCell {
        CellId cell;
        FencingToken token;
        CellLoad load;
        /// Told now and then only.
        std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates;
    };

    Common::DaemonId id;
    /// Where the host serves peers.
    std::string address;
    /// Where it hears beats.
    std::string heartbeatAddress;
    Common::DomainId domain;
    Common::RegionId region;
    /// What the host can carry, in thousandths of a core.
    int64_t weight = 0;
    /// Wall clock of the process's start in milliseconds: of two at one address the later one counts.
    int64_t startedAtMilliseconds = 0;
    bool draining = false;
    /// The store answers it.
    bool storeAvailable = false;
    int64_t configVersion = -1;
    std::vector<OwnedCell> cells;
    /// Cells that it is taking over or releasing: it doesn't count as their owner, but may grant leases there. Nothing
    /// when it doesn't tell, as a host of an earlier version.
    std::optional<std::vector<CellId>> transitioningCells;
    /// Cells that it has released since; whoever should have them may take over at once.
    std::vector<CellId> released;
    /// Beat addresses of other hosts that it hears.
    std::vector<std::string> knownAddresses;

    /// Whether the host may still grant leases to the cell's workers.
    bool mayGrantLeases(const CellId&) const;

    std::string encode() const;
    static Common::Result<HostHeartbeat> decode(std::string_view text);
};

} // namespace Cells
