// Who owns a cell, as the store keeps it.
#pragma once

#include "Cells/CellId.h"
#include "Common/Ids.h"
#include "Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cells {

/// Each transaction of an owner expects the record's revision, so a replaced owner can't change anything.
struct CellRecord {
    Common::DaemonId owner;
    /// Where the owner serves peers.
    std::string address;
    FencingToken token;
    /// Counts the owner's own rewrites, which invalidate transactions whose fate is unclear.
    uint64_t rewrites = 0;
    /// The owner has stopped acting and the cell is to be taken over at once.
    bool released = false;

    std::string encode() const;
    static Common::Result<CellRecord> decode(std::string_view text);
};

} // namespace Cells
