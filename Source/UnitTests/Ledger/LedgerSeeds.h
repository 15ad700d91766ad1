// Seeds of the randomized tests. LC_SEED=n replays one seed; LC_SCHEDULES=n sets how many seeds run.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <functional>

namespace LedgerTests {

inline uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

inline void forEachSeed(uint64_t schedules, const std::function<void(uint64_t seed)>& run)
{
    const uint64_t only = environmentNumber("LC_SEED", 0);
    if (only != 0) {
        run(only);
        return;
    }
    const uint64_t last = environmentNumber("LC_SCHEDULES", schedules);
    for (uint64_t seed = 1; seed <= last; ++seed)
        run(seed);
}

} // namespace LedgerTests
