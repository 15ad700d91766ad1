// The heartbeat message of releases before HostGossip, which a host sent to all others. It is sent to hosts of such a
// release only.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellLoad.h"
#include "Cells/HostState.h"
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
        /// Sent in some heartbeats only; otherwise empty.
        std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates;
    };

    Common::DaemonId id;
    /// "IP:port" where the host serves calls of other hosts.
    std::string address;
    /// "IP:port" where it receives heartbeats.
    std::string heartbeatAddress;
    Common::DomainId domain;
    Common::RegionId region;
    /// Capacity of the host for owning cells, in thousandths of a core.
    int64_t weight = 0;
    /// Wall clock of the process's start in milliseconds; of two processes at one address the later one counts.
    int64_t startedAtMilliseconds = 0;
    bool draining = false;
    /// The host's own timers fire late, see LagMonitor; other hosts should own its cells.
    bool late = false;
    /// The store answers this host's direct calls.
    bool storeAvailable = false;
    /// Version of the configuration in force; -1 when none is known.
    int64_t configVersion = -1;
    std::vector<OwnedCell> cells;
    /// Cells that it is taking over or releasing: it isn't their owner, but may grant leases to their workers. nullopt
    /// from hosts of an earlier version, which don't send it.
    std::optional<std::vector<CellId>> transitioningCells;
    /// Cells that it released recently; the preferred host may take them over at once.
    std::vector<CellId> released;
    /// Heartbeat addresses of some live hosts that it knows.
    std::vector<std::string> knownAddresses;
    /// The host reads the messages of HostGossip.
    bool readsGossip = false;

    /// Whether the host may still grant leases to the cell's workers; true when it doesn't send `transitioningCells`.
    bool mayGrantLeases(const CellId&) const;

    HostState state() const;
    std::string encode() const;
    static Common::Result<HostHeartbeat> decode(std::string_view text);
};

} // namespace Cells
