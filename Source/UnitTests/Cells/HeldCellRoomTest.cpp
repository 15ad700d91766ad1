// Room of a cell whose new owner still waits for the leases of earlier ones.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

using namespace CellTests;

// Guards against LOST (issue 55): a cell that was taken over shows the most room, and what is given to it waits there.
TEST_CASE("a task that has lost its run isn't given to a cell that holds its own tasks")
{
    // The owner's wait for the lease, a poll that times out, the wait for room and the transfer.
    const Common::Duration longestAway
        = Cells::WorkerLease::onSlowestClock(Cells::CellSettings {}.runLease) + Cells::CellSettings {}.pollWait + 1s;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        CellWorld world(seed);
        world.addWorkers("yard", 1, 4000);
        world.addHost("yard", "yard:1");
        world.addWorkers("shed", 3, 4000);
        world.addHost("shed", "shed:1");
        world.addHost("shed", "shed:2");
        world.addWorkers("barn", 1, 4000);
        world.addHost("barn", "barn:1");
        world.clock.advance(8s);
        WorldHost* shedOwner = nullptr;
        for (WorldHost* const host : world.live()) {
            if (Cells::CellEngine* const yard = host->cellOwnership.engine(Cells::CellId("yard-0"))) {
                Jobs::JobRecord record = CellWorld::service(1, 2);
                world.judge.submitted[record.id] = record.spec;
                record.acceptedMilliseconds = world.clock.wallMilliseconds();
                yard->submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
            }
            if (host->cellOwnership.engine(Cells::CellId("shed-0")))
                shedOwner = host;
        }
        world.clock.advance(2s);
        REQUIRE(world.workers.front()->running() == 2);
        REQUIRE(shedOwner);
        REQUIRE(shedOwner->settings.domain.value() == "shed");
        world.workers.front()->crash();
        world.workers[1]->crash();
        shedOwner->process.kill();
        CHECK(longestShortage(world, 2, 20s) <= longestAway);
        CHECK(world.judge.summary() == "");
    }
}
