// An order that reaches the next life of a worker after the lease of its former life has passed.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

// Guards against a task that runs on two workers since an order to a silent worker is carried out by its next life.
TEST_CASE("an order that was left unanswered starts nothing on the next life of a worker whose lease has passed")
{
    for (const Common::Duration late : { 9000ms, 10000ms, 11000ms, 12000ms }) {
        for (const Common::Duration down : { 7000ms, 7500ms, 8000ms }) {
            CAPTURE(late.count());
            CAPTURE(down.count());
            CellWorld world(1);
            world.addWorkers("yard", 2, 8000);
            world.addHost("yard", "a:1");
            world.clock.advance(8s);
            for (const auto& worker : world.workers)
                worker->nextStartDelay = late;
            Outcome submitted;
            world.submit(*world.hosts.front(), CellWorld::job(1, "run:9000", 1), submitted);
            world.clock.advance(1s);
            world.workers[world.workers[0]->running() > 0 ? 0 : 1]->restart(down);
            world.clock.advance(40s);
            CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
            CHECK(world.judge.summary() == "");
        }
    }
}
