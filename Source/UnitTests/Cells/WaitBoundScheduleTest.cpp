// Whatever arrives, no step waits for longer than a bound while there is room for it and less than half of the
// processor time is in use.
#include "Cells/WaitBoundSchedule.h"

#include <doctest/doctest.h>

using namespace CellTests;

namespace {

constexpr uint64_t lastSeed = 40;

/// `lastingShare`: processor time that long-running tasks declare after the load has fallen.
void checkWaits(WaitBoundSchedule::Room room, double lastingShare, Common::Duration span)
{
    SeedRange seeds = SeedRange::fromEnvironment();
    if (!seeds.chosen)
        seeds.last = lastSeed;
    if (seeds.chosen && std::getenv("LC_LOG"))
        Common::initLog("schedule", "info");
    const std::set<uint64_t> known = seeds.chosen ? std::set<uint64_t> {} : knownFailures(__FILE__);
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        if (known.contains(seed)) {
            MESSAGE("seed " << seed << " is a known failure and isn't run");
            continue;
        }
        CAPTURE(seed);
        WaitBoundSchedule schedule(seed);
        schedule.overload();
        schedule.cancelLasting(lastingShare);
        schedule.watch(span, room);
        CHECK(schedule.tooLongText() == "");
        CHECK(schedule.judge.summary() == "");
    }
}

} // namespace

TEST_CASE("no step waits for more than its bound while two workers have free room for it")
{
    checkWaits(WaitBoundSchedule::Room::Free, 0.33, 60s);
}

TEST_CASE("no step waits for more than its bound because of smaller tasks that end and arrive")
{
    checkWaits(WaitBoundSchedule::Room::FreeSoon, 0.1, 35s);
}
