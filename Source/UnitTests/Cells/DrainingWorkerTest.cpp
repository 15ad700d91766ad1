// Tests that a worker that is about to leave gets no starts once that is known.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <list>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The platform's bounds: a worker must get no starts this long after it was listed as draining, by hosts of which no
/// connection has failed for the second time.
constexpr Common::Duration drainTime = 3s;
constexpr Common::Duration contactTime = 4s;

/// A cell with two workers and a stream of short jobs that keeps both of them at work.
struct BusyCell : CellWorld {
    std::list<Outcome> outcomes;
    uint64_t jobs = 0;

    explicit BusyCell(uint64_t seed)
        : CellWorld(seed)
    {
        addWorkers("yard", 2, 4000);
        addHost("yard", "a:1");
        clock.advance(8s);
    }
    void play(Common::Duration span)
    {
        const Common::MonotonicTime end = clock.now() + span;
        while (clock.now() < end) {
            submit(*hosts.front(), job(++jobs, "run:300", 2), outcomes.emplace_back());
            clock.advance(std::min<Common::Duration>(100ms, end - clock.now()));
        }
    }
};

} // namespace

// Guards against starts on a draining worker while the watch of the list hangs on a silent connection (issue 35,
// DRAIN).
TEST_CASE("a draining worker gets no starts once the host must know although its connection to the list was silent")
{
    for (int64_t silentAfter = 0; silentAfter < 3000; silentAfter += 300) {
        for (const Common::Duration drainsAfter : { 10ms, 1000ms, 4300ms }) {
            CAPTURE(silentAfter);
            CAPTURE(drainsAfter.count());
            BusyCell world(static_cast<uint64_t>(silentAfter) + 1);
            world.play(std::chrono::milliseconds(silentAfter));
            world.hosts.front()->workers.silenceConnection();
            world.play(drainsAfter);
            RunWorker& leaving = *world.workers[0];
            leaving.drain();
            world.play(std::max<Common::Duration>(drainTime, contactTime - drainsAfter));
            const uint64_t starts = leaving.starts;
            world.play(8s);
            CHECK(leaving.starts == starts);
            CHECK(world.workers[1]->starts > 20);
            CHECK(world.judge.summary() == "");
        }
    }
}

// Guards against a start order that is repeated until a worker that has begun to leave meanwhile carries it out (issue
// 35, DRAIN).
TEST_CASE("a start order that a worker leaves unanswered isn't repeated once the worker drains")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        Fleet world(seed);
        for (const auto& worker : world.workers)
            worker->ignoresStarts = true;
        Outcome outcome;
        world.submit(world.other(), CellWorld::job(1, "run:500", 8), outcome);
        world.clock.advance(1s);
        for (size_t index = 0; index < 4; ++index)
            world.workers[index]->drain();
        world.clock.advance(drainTime);
        for (const auto& worker : world.workers)
            worker->ignoresStarts = false;
        // Until then the workers' next lives may carry the orders out.
        world.clock.advance(Cells::CellSettings {}.longestCallDelay + 5s);
        for (size_t index = 0; index < 4; ++index)
            CHECK(world.workers[index]->starts == 0);
        CHECK(world.phase(world.other(), 1) == Jobs::JobPhase::Completed);
        CHECK(world.judge.starts == 8);
        CHECK(world.judge.summary() == "");
    }
}
