// Stable hashing with xxHash.
#include "Common/Hash.h"

#include <xxhash.h>

namespace Common {

uint64_t stableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), stableHash(key));
}

} // namespace Common
