// A backfill run beside services.
#pragma once

#include <cstdint>
#include <string>

namespace Policy {

struct PacedRun {
    std::string image;
    /// Share of the worker's processor that it would like to have, 0 to 1.
    double demand = 0;
    /// Share of the worker's processor that it was last seen to use.
    double used = 0;
    uint32_t pace = 100;
};

} // namespace Policy
