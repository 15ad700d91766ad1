// Answers and reports that leave open whether a run is on its worker.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// One host and two workers.
struct SmallCell : CellWorld {
    Outcome outcome;

    explicit SmallCell(uint64_t seed)
        : CellWorld(seed)
    {
        addWorkers("yard", 2, 8000);
        addHost("yard", "a:1");
        clock.advance(8s);
    }
};

} // namespace

// Guards against a second run beside the one that an earlier copy of the order has started: the copy was left
// unanswered, and the next one came too late.
TEST_CASE("a run whose order is refused as expired is stopped if an earlier copy of the order may have started it")
{
    // The list of workers, which is read each second, shows meanwhile that the worker has no room for the task.
    for (Common::Duration offset {}; offset < 1s; offset += 100ms) {
        CAPTURE(offset.count());
        SmallCell world(1);
        world.clock.advance(offset);
        for (const auto& worker : world.workers)
            worker->losesNextStartAnswer = true;
        world.submit(*world.hosts.front(), CellWorld::job(1, "run:4000", 1), world.outcome);
        world.clock.advance(100ms);
        REQUIRE(world.running() == 1);
        for (const auto& worker : world.workers) {
            worker->losesNextStartAnswer = false;
            worker->nextCopyExpired = worker->running() > 0;
            if (worker->running() > 0)
                worker->setCapacity(500, RunWorker::CapacitySource::List);
        }
        world.clock.advance(20s);
        CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
        CHECK(world.judge.twice.summary() == "");
    }
}

// Guards against runs that are given up since their rows of the report can't be read.
TEST_CASE("runs are kept while a report has rows that can't be read")
{
    SmallCell world(1);
    world.submit(*world.hosts.front(), CellWorld::service(1, 6), world.outcome);
    world.clock.advance(3s);
    REQUIRE(world.running() == 6);
    for (const auto& worker : world.workers)
        worker->unreadableRows = true;
    world.clock.advance(5s);
    CHECK(world.judge.starts == 6);
    for (const auto& worker : world.workers)
        worker->unreadableRows = false;
    world.clock.advance(5s);
    CHECK(world.judge.starts == 6);
    CHECK(world.judge.twice.summary() == "");
    CHECK(world.running() == 6);
}
