// Task transfers to and from a cell that its owner holds on after it has announced a release that couldn't be written.
#include "Cells/CellWorld.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

#include <functional>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

constexpr uint64_t jobNumber = 1;
constexpr uint64_t serviceNumber = 2;

/// The cell "yard-0", whose four cores a service fills, and the cell "shed-0"; both have owners in a third domain.
struct TwoCells : CellWorld {
    const Cells::CellId home { "yard-0" };
    const Cells::CellId peer { "shed-0" };

    TwoCells()
        : CellWorld(1)
    {
        addWorkers("yard", 1, 4000);
        addWorkers("shed", 1, 4000);
        for (const char* const name : { "barn:1", "barn:2" })
            addHost("barn", name);
        clock.advance(8s);
        submitToHome(service(serviceNumber, 4));
        clock.advance(1s);
        REQUIRE(workers[0]->running() == 4);
        REQUIRE(ownerOf(peer));
        REQUIRE(ownerOf(home) != ownerOf(peer));
    }
    RunWorker& peerWorker() { return *workers[1]; }
    WorldHost* ownerOf(const Cells::CellId& cell)
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engine(cell))
                return host;
        }
        return nullptr;
    }
    void submitToHome(Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        WorldHost* const owner = ownerOf(home);
        REQUIRE(owner);
        owner->cellOwnership.engine(home)->submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// The phase of the job as the owner of its cell shows it.
    std::optional<JobPhase> phaseOfJob()
    {
        WorldHost* const owner = ownerOf(home);
        REQUIRE(owner);
        return phase(*owner, jobNumber);
    }
    void waitUntil(const std::function<bool()>& condition)
    {
        const Common::MonotonicTime end = clock.now() + 15s;
        while (!condition() && clock.now() < end)
            clock.step();
        REQUIRE(condition());
    }
    /// Transfers of the job's tasks that the cell hasn't taken over.
    size_t transfersTo(const Cells::CellId& cell) const
    {
        return store.countWithPrefix(Cells::StoreKeys::job(cell, jobId(jobNumber)) + Cells::StoreKeys::transferMarker);
    }
    /// The cell's owner hands it over to a nearer and larger host, which then stops, while the store is down. `outage`
    /// after its release the store returns, and it claims the cell again.
    void holdOnAfterFailedRelease(
        const Cells::CellId& cell, Common::Duration outage, const std::function<void()>& duringOutage = [] {})
    {
        WorldHost* const releaser = ownerOf(cell);
        const std::string domain = cell == home ? "yard" : "shed";
        WorldHost& nearer = addHost(domain, domain + ":1", 100'000);
        // Just before the hand-over, so that the owner's authority outlasts its release.
        clock.advance(6s);
        store.down = true;
        duringOutage();
        waitUntil([&] { return !ownerOf(cell); });
        nearer.process.kill();
        clock.advance(outage);
        REQUIRE_FALSE(ownerOf(cell));
        store.down = false;
        waitUntil([&] { return ownerOf(home) && ownerOf(peer); });
        REQUIRE(ownerOf(cell) == releaser);
    }
};

} // namespace

// Guards against jobs that never end because ended tasks aren't returned to a cell that is taken for released.
TEST_CASE("a job ends although its cell was held on after a failed release while its tasks ran in another cell")
{
    TwoCells world;
    world.submitToHome(CellWorld::job(jobNumber, "run:20000", 2));
    world.waitUntil([&] { return world.peerWorker().running() == 2; });
    world.holdOnAfterFailedRelease(world.home, 3s);
    REQUIRE(world.peerWorker().running() == 2);
    world.clock.advance(60s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.transfersTo(world.home) == 0);
    CHECK(world.peerWorker().starts == 2);
    CHECK(world.judge.summary() == "");
}

// Guards against tasks that run nowhere for good because the cell that has them by transfer is taken for released.
TEST_CASE("tasks run that are transferred to a cell while its owner fails to release it")
{
    for (int64_t moment = 0; moment < 40; ++moment) {
        CAPTURE(moment);
        TwoCells world;
        world.peerWorker().setCapacity(100, RunWorker::CapacitySource::Reports);
        world.clock.advance(3s);
        world.submitToHome(CellWorld::job(jobNumber, "run:500", 2));
        world.holdOnAfterFailedRelease(world.peer, 3s + moment * 50ms,
            [&] { world.peerWorker().setCapacity(4000, RunWorker::CapacitySource::Reports); });
        world.clock.advance(60s);
        CHECK(world.phaseOfJob() == JobPhase::Completed);
        CHECK(world.transfersTo(world.peer) == 0);
        CHECK(world.peerWorker().starts == 2);
        CHECK(world.judge.summary() == "");
    }
}

// Guards against tasks that wait for good because the only cell with room for them is taken for released.
TEST_CASE("tasks of a full cell run in another cell that was held on after a failed release")
{
    TwoCells world;
    world.holdOnAfterFailedRelease(world.peer, 3s);
    world.submitToHome(CellWorld::job(jobNumber, "run:500", 2));
    world.clock.advance(60s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.peerWorker().starts == 2);
    CHECK(world.judge.summary() == "");
}
