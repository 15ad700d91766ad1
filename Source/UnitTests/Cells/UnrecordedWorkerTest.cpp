// A worker that the cell's record leaves out for a while.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

TEST_CASE("a worker gets no runs while a record without it may be the durable one")
{
    Fleet fleet;
    RunWorker& worker = *fleet.workers.front();
    worker.refusesStarts = true;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:60000", 32), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 28);
    fleet.store.latePerMille = 1000;
    worker.drain();
    fleet.clock.advance(1500ms);
    worker.stay();
    worker.refusesStarts = false;
    fleet.clock.advance(1500ms);
    CHECK(worker.running() == 0);
    fleet.store.latePerMille = 0;
    fleet.clock.advance(10s);
    CHECK(worker.running() == 4);
}
