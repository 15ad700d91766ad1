// Messages on transferred tasks to the owner of a cell that handles them more slowly than they come.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstService = 100;
constexpr uint64_t services = 400;
constexpr uint64_t lateService = firstService + services;
/// The owner can handle all messages once in eight seconds.
constexpr Common::Duration serviceTime = 20ms;
constexpr Common::Duration timeForAll = services * serviceTime;
/// Http::Client::Limits::maximumConnectionsPerAddress.
constexpr size_t connections = 60;
/// The platform's finish_s: accepted tasks with room for them run within this time.
constexpr Common::Duration finishTime = 14s;

/// The cell "yard-0", whose only worker is full, and the cell "shed-0" with room for all services.
struct OverloadedOwner : CellWorld {
    const Cells::CellId home { "yard-0" };
    const Cells::CellId peer { "shed-0" };

    size_t accepted = 0;

    explicit OverloadedOwner(uint64_t seed)
        : CellWorld(seed)
    {
        addWorkers("yard", 1, 1000);
        addWorkers("shed", 8, 100'000);
        addHost("yard", "yard:1");
        addHost("shed", "shed:1");
        for (WorldHost* const host : live())
            host->peer.maximumConnections = connections;
        clock.advance(8s);
        REQUIRE(ownerOf(home));
        REQUIRE(ownerOf(peer));
        REQUIRE(ownerOf(home) != ownerOf(peer));
    }
    WorldHost* ownerOf(const Cells::CellId& cell)
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engine(cell))
                return host;
        }
        return nullptr;
    }
    void serve(uint64_t number)
    {
        Jobs::JobRecord record = service(number, 1);
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        ownerOf(home)->cellOwnership.engine(home)->submit(record, Cells::CellEngine::Fit::Any,
            [this](const Common::Result<Cells::AcceptOutcome>& outcome) { accepted += outcome ? 1 : 0; });
    }
    void serveAll()
    {
        for (uint64_t number = firstService; number < lateService; ++number)
            serve(number);
    }
    void cancel(uint64_t number)
    {
        ownerOf(home)->cellOwnership.engine(home)->cancel(jobId(number), [](const Common::Result<Common::Done>&) {});
    }
    void cancelAll()
    {
        for (uint64_t number = firstService; number < lateService; ++number)
            cancel(number);
    }
};

} // namespace

// Guards against retries that keep an overloaded owner from receiving any transfer in time.
TEST_CASE("transferred tasks start in a cell whose owner is slower than the transfers come")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        OverloadedOwner world(seed);
        world.ownerOf(world.peer)->peer.serviceTime = serviceTime;
        world.serveAll();
        world.clock.advance(timeForAll);
        world.serve(lateService);
        world.clock.advance(finishTime);
        CHECK(world.accepted == services + 1);
        CHECK(world.running() == services + 1);
        CHECK(world.judge.summary() == "");
    }
}

// Guards against the same for cancellations of transferred tasks.
TEST_CASE("transferred tasks stop in a cell whose owner is slower than their cancellations come")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        OverloadedOwner world(seed);
        world.serveAll();
        world.serve(lateService);
        world.clock.advance(finishTime);
        REQUIRE(world.running() == services + 1);
        world.ownerOf(world.peer)->peer.serviceTime = serviceTime;
        world.cancelAll();
        world.clock.advance(timeForAll);
        world.cancel(lateService);
        world.clock.advance(finishTime);
        CHECK(world.running() == 0);
    }
}

// Guards against repeated messages that keep an owner from its other calls.
TEST_CASE("an overloaded owner has few messages on transferred tasks to handle at a time")
{
    OverloadedOwner world(1);
    Fakes::FakePeer& owner = world.ownerOf(world.peer)->peer;
    owner.serviceTime = serviceTime;
    world.serveAll();
    size_t most = 0;
    for (Common::Duration passed {}; passed < finishTime; passed += 100ms) {
        world.clock.advance(100ms);
        most = std::max(most, owner.queuedCalls());
    }
    // Callers' submissions wait a second for an answer.
    CHECK(most < static_cast<size_t>(1s / serviceTime));
}
