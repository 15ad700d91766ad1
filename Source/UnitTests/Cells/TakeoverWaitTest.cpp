// A successor whose cell has a worker that can't be reached.
#include "Cells/CellRecord.h"
#include "Cells/LateOwner.h"
#include "Cells/StoreKeys.h"

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

// Guards against a wait that goes on until the next poll of the silent worker has timed out.
TEST_CASE("after a takeover the tasks of a lost worker run again as soon as the leases of earlier owners have ended")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
        fleet.clock.advance(2s);
        REQUIRE(fleet.running() == 6);
        const auto tokenOfCell = [&fleet] {
            const auto record
                = Cells::CellRecord::decode(*fleet.store.value(Cells::StoreKeys::cell(Cells::CellId("yard-0"))));
            REQUIRE(record);
            return record->token;
        };
        const auto waitUntil = [&fleet](const auto& condition) {
            for (size_t steps = 0; steps < 4000 && !condition(); ++steps)
                fleet.clock.advance(5ms);
            REQUIRE(condition());
        };
        const Cells::FencingToken first = tokenOfCell();
        const auto lost = std::find_if(
            fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
        const size_t others = 6 - (*lost)->running();
        (*lost)->crash();
        fleet.owner()->process.kill();
        waitUntil([&] { return tokenOfCell() != first; });
        const Common::MonotonicTime claimed = fleet.clock.now();
        CHECK(fleet.running() == others);
        waitUntil([&] { return fleet.running() == 6; });
        CHECK(fleet.clock.now() - claimed <= Cells::CellSettings {}.authority + 400ms);
        CHECK(fleet.judge.summary() == "");
    }
}
