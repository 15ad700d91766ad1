// Number of one ledger shard.
#pragma once

#include <compare>
#include <cstdint>

namespace Ledger {

/// From zero to LedgerSettings::shardCount - 1.
struct ShardIndex {
    uint32_t value = 0;
    auto operator<=>(const ShardIndex&) const = default;
};

} // namespace Ledger
