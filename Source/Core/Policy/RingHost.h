// A host's place in the order in which hosts watch each other.
#pragma once

#include <cstdint>
#include <string>

namespace Policy {

struct RingHost {
    /// Unique; usually the stable hash of the host's address.
    uint64_t position = 0;
    /// Failure domain.
    std::string domain;
};

} // namespace Policy
