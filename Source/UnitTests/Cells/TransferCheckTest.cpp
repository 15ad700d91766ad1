// What a new owner reads from the store to learn which transfers of its cell weren't received.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t services = 400;
/// Calls that a host makes to a store that refuses them, for all else that it does.
constexpr uint64_t otherCallsPerSecond = 60;

} // namespace

// Guards against reads for all jobs at once, repeated as often as the store refuses them.
TEST_CASE("a new owner reads the transfers of few jobs at a time while the store is down")
{
    CellWorld world(1);
    world.addWorkers("yard", 1, 1000);
    world.addWorkers("shed", 8, 100'000);
    world.addHost("yard", "yard:1");
    world.addHost("shed", "shed:1");
    world.clock.advance(8s);
    const Cells::CellId home("yard-0");
    REQUIRE(world.hosts[0]->cellOwnership.engine(home));
    for (uint64_t number = 1; number <= services; ++number) {
        Jobs::JobRecord record = CellWorld::service(number, 1);
        world.judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = world.clock.wallMilliseconds();
        world.hosts[0]->cellOwnership.engine(home)->submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    world.clock.advance(20s);
    REQUIRE(world.running() == services);
    WorldHost& successor = world.restart(0);
    for (int step = 0; step < 20'000 && !successor.cellOwnership.engine(home); ++step)
        world.clock.advance(1ms);
    REQUIRE(successor.cellOwnership.engine(home));
    // The answers to what it has asked at once are lost.
    world.network.cut(Fakes::FakeRecordStore::address, successor.address);
    world.store.down = true;
    world.clock.advance(2s);
    world.store.refusedCalls = 0;
    world.clock.advance(5s);
    // Sixteen reads every 0.4 s.
    CHECK(world.store.refusedCalls < 5 * (40 + otherCallsPerSecond));
    world.store.down = false;
    world.network.heal();
    world.clock.advance(30s);
    CHECK(world.running() == services);
    CHECK(world.judge.summary() == "");
}
