// Cancellations of jobs whose submission had no certain outcome.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

TEST_CASE("a job doesn't start after its cancellation was answered while its submission was unclear")
{
    for (const bool atOwner : { false, true }) {
        CAPTURE(atOwner);
        Fleet world;
        WorldHost& caller = atOwner ? *world.owner() : world.other();
        // The write of the submission has no answer, and its caller is told so.
        world.store.latePerMille = 1000;
        Outcome submitted;
        world.submit(caller, CellWorld::service(1, 8), submitted);
        for (size_t step = 0; step < 60 && !submitted; ++step)
            world.clock.advance(50ms);
        REQUIRE(submitted);
        REQUIRE_FALSE(submitted->hasValue());
        CHECK(submitted->reason().code == Common::ErrorCode::OutcomeUnknown);
        Outcome cancelled;
        caller.front.cancel(
            CellWorld::jobId(1), 2900ms, [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done; });
        world.clock.advance(100ms);
        // A job that no record names may still be accepted, so the caller must not be told that there is none.
        const bool saysUnknown
            = cancelled && !cancelled->hasValue() && cancelled->reason().code == Common::ErrorCode::UnknownJob;
        world.store.latePerMille = 0;
        world.clock.advance(20s);
        REQUIRE(cancelled);
        CAPTURE(saysUnknown);
        CHECK(world.running() == 0);
    }
}
