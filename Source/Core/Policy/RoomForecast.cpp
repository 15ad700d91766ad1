// Removes runs in the order of their expected ends until the need fits.
#include "Policy/RoomForecast.h"

#include <algorithm>

namespace Policy {

namespace {

    constexpr int overrunDivisor = 4;

} // namespace

Common::Duration expectedRemaining(Common::Duration estimate, Common::Duration elapsed)
{
    return std::max({ estimate - elapsed, elapsed / overrunDivisor, Common::Duration::zero() });
}

std::optional<Common::Duration> timeUntilRoom(
    const Common::Resources& needed, const Common::Resources& capacity, std::vector<HeldRoom> runs)
{
    Common::Resources wanted = needed;
    for (const HeldRoom& run : runs)
        wanted += run.held;
    if (Common::fits(wanted, capacity))
        return Common::Duration::zero();
    std::erase_if(runs, [](const HeldRoom& run) { return !run.remaining; });
    std::sort(
        runs.begin(), runs.end(), [](const HeldRoom& a, const HeldRoom& b) { return *a.remaining < *b.remaining; });
    for (const HeldRoom& run : runs) {
        wanted -= run.held;
        if (Common::fits(wanted, capacity))
            return run.remaining;
    }
    return std::nullopt;
}

} // namespace Policy
