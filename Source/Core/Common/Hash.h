// Hash functions whose values are the same on every host and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

/// 64-bit XXH3 hash.
uint64_t stableHash(std::string_view text);
/// Weight of `candidate` for `key` in rendezvous hashing; the highest weight wins.
uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace Common
