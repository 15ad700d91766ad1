// What a host tells all others about itself, several times a second.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellLoad.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Policy/TailModel.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

struct HostBeat {
    struct OwnedCell {
        CellId cell;
        FencingToken token;
        CellLoad load;
        /// Told now and then only.
        std::vector<Policy::TailModel::Belief> beliefs;
    };

    Common::DaemonId id;
    /// Where the host serves peers.
    std::string address;
    /// Where it hears beats.
    std::string beatAddress;
    Common::DomainId domain;
    Common::RegionId region;
    /// What the host can carry, in thousandths of a core.
    int64_t weight = 0;
    /// Wall clock of the process's start in milliseconds: of two at one address the later one counts.
    int64_t startedMilliseconds = 0;
    bool draining = false;
    /// The store answers it.
    bool storeAnswers = false;
    int64_t configVersion = -1;
    std::vector<OwnedCell> cells;
    /// Cells that it is taking over or releasing: it doesn't count as their owner, but may grant leases there. Nothing
    /// when it doesn't tell, as a host of an earlier version.
    std::optional<std::vector<CellId>> changing;
    /// Cells that it has released since; whoever should have them may take over at once.
    std::vector<CellId> released;
    /// Beat addresses of other hosts that it hears.
    std::vector<std::string> others;

    /// Whether the host may still grant leases to the cell's workers.
    bool holds(const CellId&) const;

    std::string encode() const;
    static Common::Result<HostBeat> decode(std::string_view text);
};

} // namespace Cells
