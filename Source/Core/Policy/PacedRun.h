// A backfill run on a worker with services, as input for its pace.
#pragma once

#include <cstdint>
#include <string>

namespace Policy {

struct PacedRun {
    std::string image;
    /// Share of the worker's processor that it could use at full pace, 0 to 1.
    double demand = 0;
    /// Share of the worker's processor that it used in the last report, 0 to 1.
    double used = 0;
    /// Current pace in percent of full speed; 0: paused.
    uint32_t pace = 100;
};

} // namespace Policy
