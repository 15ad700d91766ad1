// Room becomes free in the order in which runs are expected to end; long-running runs keep theirs.
#include "Policy/RoomForecast.h"

#include <doctest/doctest.h>

using namespace Policy;
using namespace std::chrono_literals;

namespace {

const Common::Resources capacity { 0, 4000, 1000, 0 };

HeldRoom run(int64_t milliCores, Common::Duration remaining, int64_t memory = 0)
{
    return { { 0, milliCores, memory, 0 }, remaining };
}

HeldRoom service(int64_t milliCores, int64_t memory = 0) { return { { 0, milliCores, memory, 0 }, std::nullopt }; }

std::optional<Common::Duration> timeFor(int64_t milliCores, std::vector<HeldRoom> runs, int64_t memory = 0)
{
    return timeUntilRoom({ 0, milliCores, memory, 0 }, capacity, std::move(runs));
}

} // namespace

TEST_CASE("room that is free now needs no wait")
{
    CHECK(timeFor(4000, {}) == 0s);
    CHECK(timeFor(1000, { run(2000, 9s), service(1000) }) == 0s);
}

TEST_CASE("the wait ends with the run that makes enough room, whatever the order of the runs")
{
    CHECK(timeFor(2000, { run(1500, 3s), run(1000, 1s), run(1500, 2s) }) == 2s);
    CHECK(timeFor(4000, { run(1500, 3s), run(1000, 1s), run(1500, 2s) }) == 3s);
}

TEST_CASE("long-running runs never make room")
{
    CHECK(timeFor(2000, { service(2000), run(2000, 5s) }) == 5s);
    CHECK(!timeFor(2001, { service(2000), run(2000, 5s) }));
}

TEST_CASE("all resources must fit")
{
    CHECK(timeFor(1000, { run(3500, 1s, 100), run(0, 4s, 900) }, 500) == 4s);
    CHECK(!timeFor(1000, { run(3500, 1s), service(0, 900) }, 500));
    CHECK(!timeFor(4001, {}));
}

TEST_CASE("runs that hold more than a shrunken capacity count in full")
{
    CHECK(timeFor(1000, { run(3000, 1s), run(3000, 2s) }) == 1s);
    CHECK(timeFor(2000, { run(3000, 1s), run(3000, 2s) }) == 2s);
}

TEST_CASE("a run that has overrun its estimate isn't expected to end at once")
{
    CHECK(expectedRemaining(3s, 1s) == 2s);
    CHECK(expectedRemaining(3s, 0s) == 3s);
    CHECK(expectedRemaining(1s, 4s) == 1s);
    CHECK(expectedRemaining(1s, 8s) > expectedRemaining(1s, 4s));
    CHECK(expectedRemaining(0s, 0s) == 0s);
}
