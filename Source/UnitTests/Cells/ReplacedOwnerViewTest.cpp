// What a former owner believes about the owner that has replaced it.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

TEST_CASE("a former owner that lost its cell goes on knowing the new owner")
{
    Fleet world;
    Outcome submitted;
    world.submit(*world.owner(), CellWorld::service(1, 8), submitted);
    world.clock.advance(2s);
    const Cells::CellId cell { "yard-0" };
    WorldHost& former = *world.owner();
    former.process.pause();
    world.clock.advance(20s);
    former.process.resume();
    world.clock.advance(3s);
    REQUIRE(world.owners() == 1);
    REQUIRE(world.owner() != &former);
    Common::Duration unknown {};
    Common::Duration longest {};
    Common::Duration current {};
    for (size_t step = 0; step < 400; ++step) {
        world.clock.advance(50ms);
        if (former.cellOwnership.liveOwner(cell)) {
            current = {};
            continue;
        }
        unknown += 50ms;
        current += 50ms;
        longest = std::max(longest, current);
    }
    CAPTURE(unknown / 1ms);
    CAPTURE(longest / 1ms);
    CHECK(unknown == Common::Duration::zero());
    // Cancelled at the moment at which the former owner stops knowing the new one, if it does.
    for (size_t step = 0; step < 1000 && !former.cellOwnership.liveOwner(cell); ++step)
        world.clock.advance(10ms);
    for (size_t step = 0; step < 400 && former.cellOwnership.liveOwner(cell); ++step)
        world.clock.advance(10ms);
    Outcome cancelled;
    const Common::MonotonicTime sentAt = world.clock.now();
    former.front.cancel(
        CellWorld::jobId(1), 2900ms, [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done; });
    world.clock.advance(2900ms);
    CHECK((cancelled && cancelled->hasValue()));
    while (world.running() > 0 && world.clock.now() - sentAt < 30s)
        world.clock.advance(10ms);
    const auto ranOnMilliseconds = (world.clock.now() - sentAt) / 1ms;
    CHECK(ranOnMilliseconds <= 2900);
    CHECK(world.judge.summary() == "");
}
