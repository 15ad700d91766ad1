// Which delays make a host count as late.
#include "Cells/LagMonitor.h"

#include <doctest/doctest.h>

using namespace Cells;
using namespace std::chrono_literals;

namespace {

struct Ticks {
    LagMonitor lag;
    Common::MonotonicTime now {};

    void tick(Common::Duration delay)
    {
        now += 200ms + delay;
        lag.record(now, 200ms, delay);
    }
    void tickFor(Common::Duration period, Common::Duration delay)
    {
        for (const Common::MonotonicTime end = now + period; now < end;)
            tick(delay);
    }
};

} // namespace

TEST_CASE("delays that take more than half of the time make a host late")
{
    Ticks ticks;
    ticks.tickFor(3s, 500ms);
    CHECK_FALSE(ticks.lag.isLate(ticks.now));
    ticks.tickFor(5s, 500ms);
    CHECK(ticks.lag.isLate(ticks.now));
}

TEST_CASE("neither short delays nor a single stall make a host late")
{
    Ticks ticks;
    ticks.tickFor(60s, 150ms);
    CHECK_FALSE(ticks.lag.isLate(ticks.now));
    ticks.tickFor(10s, 0ms);
    ticks.tick(2500ms);
    CHECK_FALSE(ticks.lag.isLate(ticks.now));
}

TEST_CASE("a host stays late for a while after its last delays")
{
    Ticks ticks;
    ticks.tickFor(10s, 1s);
    ticks.tickFor(20s, 0ms);
    CHECK(ticks.lag.isLate(ticks.now));
    ticks.tickFor(20s, 0ms);
    CHECK_FALSE(ticks.lag.isLate(ticks.now));
}

TEST_CASE("a host that becomes late again soon stays late for longer")
{
    Ticks ticks;
    ticks.tickFor(10s, 1s);
    ticks.tickFor(40s, 0ms);
    REQUIRE_FALSE(ticks.lag.isLate(ticks.now));
    ticks.tickFor(10s, 1s);
    ticks.tickFor(40s, 0ms);
    CHECK(ticks.lag.isLate(ticks.now));
    ticks.tickFor(400s, 0ms);
    ticks.tickFor(10s, 1s);
    ticks.tickFor(40s, 0ms);
    CHECK_FALSE(ticks.lag.isLate(ticks.now));
}
