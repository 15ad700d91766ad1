// What all hosts know about a host. HostGossip spreads it; HostDirectory keeps that of the other hosts.
#pragma once

#include "Cells/CellId.h"
#include "Common/Ids.h"
#include "Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cells {

struct HostState {
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
    struct OwnedCell {
        CellId cell;
        FencingToken token;
        bool operator==(const OwnedCell&) const = default;
    };
    std::vector<OwnedCell> cells;
    /// Cells that it is taking over or releasing: it isn't their owner, but may grant leases to their workers.
    std::vector<CellId> transitioningCells;
    /// Cells that it released recently; the preferred host may take them over at once.
    std::vector<CellId> released;

    bool operator==(const HostState&) const = default;

    /// Whether the host may still grant leases to the cell's workers.
    bool mayGrantLeases(const CellId&) const;

    /// CBOR.
    std::string encode() const;
    static Common::Result<HostState> decode(std::string_view bytes);
};

} // namespace Cells
