// A worker that lists as many ends as a report holds, after one start order to it was left unanswered.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

// Guards against ends that are never acknowledged, as a report of that length settles no call (issue 55, review).
TEST_CASE("ends are acknowledged again after a list of ends has been full")
{
    CellWorld world(1);
    Outcome first;
    Outcome second;
    Outcome third;
    world.addWorkers("yard", 1, 100'000);
    world.addHost("yard", "a:1");
    world.clock.advance(5s);
    RunWorker& worker = *world.workers.front();
    worker.listsAtMost = 500;
    world.submit(*world.hosts.front(), CellWorld::job(1, "run:300", 1000), first);
    worker.losesNextStartAnswer = true;
    world.clock.advance(30s);
    CHECK(worker.listedEnds() < 500);
    world.clock.advance(30s);
    CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
    world.submit(*world.hosts.front(), CellWorld::job(2, "run:300", 10), second);
    world.clock.advance(30s);
    CHECK(world.phase(*world.hosts.front(), 2) == Jobs::JobPhase::Completed);
}
