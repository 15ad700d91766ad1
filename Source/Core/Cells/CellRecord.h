// The store record that names a cell's owner. CellOwnership writes it to claim a cell, CellCommitter to fence writes.
#pragma once

#include "Cells/CellId.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cells {

/// Every transaction of an owner expects the record's revision, so a replaced owner can't change any record.
struct CellRecord {
    Common::DaemonId owner;
    /// "IP:port" where the owner serves calls of other hosts.
    std::string address;
    FencingToken token;
    /// Number of rewrites by the same owner; each one invalidates transactions whose outcome is unknown.
    uint64_t rewrites = 0;
    /// The owner has stopped acting; another host may take the cell over at once.
    bool released = false;
    /// An owner before the recorded one may still grant leases to workers that the recorded one hasn't reached yet.
    bool unsettled = false;
    /// How long after the store last confirmed the ownership of its owner a lease may end, at the latest, on a clock
    /// that isn't slow: the longest of the recorded owner and, while the record is unsettled, of those before it.
    Common::Duration leaseHorizon = earlierReleaseHorizon;

    /// That of releases that don't record it: they grant leases of 6 s until the end of an authority of 9 s.
    static constexpr Common::Duration earlierReleaseHorizon = std::chrono::seconds(15);
    std::string encode() const;
    static Common::Result<CellRecord> decode(std::string_view text);
};

} // namespace Cells
