// Tests of cancellations of jobs whose tasks run in several cells.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Two cells with a host each; a service of the first one runs in both.
struct DividedService : CellWorld {
    Outcome submitted;

    explicit DividedService(uint64_t seed)
        : CellWorld(seed)
    {
        addWorkers("yard", 1, 4000);
        addWorkers("shed", 1, 4000);
        for (const char* const domain : { "yard", "shed" })
            addHost(domain, std::string(domain) + ":1");
        clock.advance(8s);
        submit(*hosts[0], service(1, 6), submitted);
        clock.advance(3s);
    }
    /// The host that owns the cell of the job.
    WorldHost& home()
    {
        for (WorldHost* const host : live()) {
            for (const auto& [cell, engine] : host->cellOwnership.engines()) {
                if (engine->phase(jobId(1)))
                    return *host;
            }
        }
        return *hosts[0];
    }
    void setLink(bool connected)
    {
        network.heal();
        if (connected)
            return;
        network.cut("yard:1", "shed:1");
        network.cut("shed:1", "yard:1");
    }
};

} // namespace

TEST_CASE("a cancellation isn't acknowledged while the job's tasks run on in a cell that hasn't heard of it")
{
    DividedService world(3);
    REQUIRE(world.running() == 6);
    WorldHost& home = world.home();
    world.setLink(false);
    Outcome first;
    home.front.cancel(CellWorld::jobId(1), 3s, [&first](const Common::Result<Common::Done>& done) { first = done; });
    world.clock.advance(1500ms);
    const size_t runningOn = world.running();
    CHECK(runningOn > 0);
    CHECK((!first || !first->hasValue()));
    world.setLink(true);
    world.clock.advance(5s);
    Outcome repeated;
    home.front.cancel(
        CellWorld::jobId(1), 3s, [&repeated](const Common::Result<Common::Done>& done) { repeated = done; });
    world.clock.advance(1s);
    REQUIRE(repeated);
    CHECK(repeated->hasValue());
    CHECK(world.running() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation that isn't durable stops no tasks of the job for good in other cells")
{
    DividedService world(3);
    REQUIRE(world.running() == 6);
    WorldHost& home = world.home();
    const size_t index = &home == world.hosts[0].get() ? 0 : 1;
    world.store.down = true;
    Outcome cancelled;
    home.front.cancel(
        CellWorld::jobId(1), 3s, [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done; });
    world.clock.advance(500ms);
    CHECK_FALSE(cancelled);
    // The owner dies before the store is back: nobody knows of the cancellation any more.
    world.hosts[index]->process.kill();
    world.store.down = false;
    world.addHost(home.settings.domain.value(), home.address);
    world.clock.advance(15s);
    CHECK(world.phase(*world.live().front(), 1) == Jobs::JobPhase::Running);
    CHECK(world.running() == 6);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation isn't acknowledged by a successor that hasn't heard of all workers yet")
{
    Fleet fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::service(1, 8), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 8);
    const auto busy = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
    REQUIRE(busy != fleet.workers.end());
    fleet.owner()->process.kill();
    for (WorldHost* const host : fleet.live()) {
        fleet.network.cut(host->address, (*busy)->entry().address);
        fleet.network.cut((*busy)->entry().address, host->address);
    }
    while (!fleet.owner())
        fleet.clock.advance(50ms);
    fleet.clock.advance(300ms);
    Outcome cancelled;
    fleet.owner()->front.cancel(
        CellWorld::jobId(1), 3s, [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done; });
    fleet.clock.advance(1s);
    REQUIRE((*busy)->running() > 0);
    CHECK((!cancelled || !cancelled->hasValue()));
    fleet.network.heal();
    fleet.clock.advance(4s);
    CHECK(fleet.cancel(1));
    CHECK(fleet.running() == 0);
    CHECK(fleet.judge.summary() == "");
}
