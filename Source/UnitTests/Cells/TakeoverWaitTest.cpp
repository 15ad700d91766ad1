// A successor whose cell has a worker that can't be reached.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

using namespace CellTests;

TEST_CASE("after a takeover one idle worker that can't be reached doesn't hold back the long-running tasks of others")
{
    Fleet fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 6);
    const auto setCut = [&](const RunWorker& worker) {
        for (const auto& host : fleet.hosts) {
            fleet.network.cut(worker.entry().address, host->address);
            fleet.network.cut(host->address, worker.entry().address);
        }
    };
    const auto idle = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() == 0; });
    REQUIRE(idle != fleet.workers.end());
    fleet.owner()->process.kill();
    for (const auto& worker : fleet.workers)
        setCut(*worker);
    fleet.clock.advance(7s);
    fleet.network.heal();
    setCut(**idle);
    CHECK(longestShortage(fleet, 6, 30s) <= 7s);
    CHECK(fleet.judge.summary() == "");
}
