// Planned handing over of a cell while one of its workers is silent.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;

// Guards against LOST (issue 55): the successor waits for the leases of a worker for which the owner has waited
// already.
TEST_CASE("a planned handing over doesn't prolong the wait of a lost worker's tasks")
{
    // The owner's wait for the lease, a poll that times out and the start.
    const Common::Duration longestAway
        = Cells::WorkerLease::onSlowestClock(Cells::CellSettings {}.runLease) + Cells::CellSettings {}.pollWait + 1s;
    for (Common::Duration before = 0s; before <= 6s; before += 500ms) {
        CAPTURE(before / 1ms);
        Fleet fleet;
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
        fleet.clock.advance(2s);
        REQUIRE(fleet.running() == 6);
        // A larger host is preferred; the owner hands the cell over after handOverDelay.
        WorldHost& preferred = fleet.addHost("yard", "d:1", 100'000);
        fleet.clock.advance(before);
        const auto lost = std::find_if(
            fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
        REQUIRE(lost != fleet.workers.end());
        (*lost)->crash();
        CHECK(longestShortage(fleet, 6, 30s) <= longestAway);
        CHECK(fleet.running() == 6);
        CHECK(fleet.owner() == &preferred);
        CHECK(fleet.judge.summary() == "");
    }
}
