// Cells whose owner announces a release and holds them on, because the release couldn't be written.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// A fleet with a service of eight tasks whose cell's owner releases the cell while the store is down, or while it
/// writes late and without an answer.
struct FailedRelease : Fleet {
    enum class Store {
        Down,
        Late,
    };
    Cells::CellId cell { "yard-0" };
    WorldHost* releaser = nullptr;

    explicit FailedRelease(uint64_t seed = 1, Store fault = Store::Down)
        : Fleet(seed)
    {
        hosts.front()->heartbeats.keepsReceived = hosts.back()->heartbeats.keepsReceived = true;
        Outcome submitted;
        submit(*owner(), service(1, 8), submitted);
        clock.advance(2s);
        REQUIRE(running() == 8);
        releaser = owner();
        // A larger host is preferred; the owner hands the cell over after handOverDelay.
        WorldHost& preferred = addHost("yard", "d:1", 100'000);
        clock.advance(5s);
        store.down = fault == Store::Down;
        store.latePerMille = fault == Store::Late ? 1000 : 0;
        for (size_t steps = 0; steps < 100 && owner(); ++steps)
            clock.advance(50ms);
        REQUIRE_FALSE(owner());
        preferred.process.kill();
        store.latePerMille = 0;
        clock.advance(200ms);
    }
    /// The store returns, and the host that has released the cell claims it again.
    void holdOn()
    {
        store.down = false;
        clock.advance(8s);
        REQUIRE(owner() == releaser);
    }
    std::vector<WorldHost*> others()
    {
        std::vector<WorldHost*> found = live();
        std::erase(found, releaser);
        return found;
    }
};

} // namespace

TEST_CASE("jobs of a cell that its owner holds on after a failed release can be cancelled at each host")
{
    FailedRelease world;
    world.holdOn();
    for (const WorldHost* const host : world.others()) {
        CAPTURE(host->address);
        CHECK(host->cellOwnership.liveOwner(world.cell));
    }
    Outcome cancelled;
    world.others().front()->front.cancel(
        CellWorld::jobId(1), 2s, [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done; });
    world.clock.advance(2s);
    REQUIRE(cancelled);
    CHECK(cancelled->hasValue());
    CHECK(world.running() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a call to the owner shows that it holds a cell on after a failed release")
{
    FailedRelease world;
    WorldHost& deaf = *world.others().front();
    deaf.heartbeats.dropsAll = true;
    world.holdOn();
    bool isKnown = false;
    for (size_t steps = 0; steps < 100 && !isKnown; ++steps) {
        world.clock.advance(100ms);
        isKnown = deaf.cellOwnership.liveOwner(world.cell) != nullptr;
    }
    CHECK(isKnown);
    CHECK(world.owner() == world.releaser);
}

TEST_CASE("states from before a release don't undo it")
{
    FailedRelease world;
    WorldHost& host = *world.others().front();
    REQUIRE(host.heartbeats.keepsReceived);
    REQUIRE_FALSE(host.cellOwnership.liveOwner(world.cell));
    for (const std::string& text : std::vector<std::string>(host.heartbeats.received)) {
        host.heartbeats.deliver(text);
        CHECK_FALSE(host.cellOwnership.liveOwner(world.cell));
    }
}

TEST_CASE("a release that is written late doesn't end the ownership of the host that has claimed the cell again")
{
    size_t claimedAgain = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FailedRelease world(seed, FailedRelease::Store::Late);
        for (size_t steps = 0; steps < 100 && !world.owner(); ++steps)
            world.clock.advance(50ms);
        if (world.owner() != world.releaser)
            continue;
        ++claimedAgain;
        const Cells::FencingToken token = world.releaser->cellOwnership.engines().at(world.cell)->token();
        world.clock.advance(6s);
        Outcome submitted;
        world.submit(*world.releaser, CellWorld::job(2, "run:500", 1), submitted);
        world.clock.advance(4s);
        CHECK(world.owner() == world.releaser);
        if (const Cells::CellEngine* const engine = world.releaser->cellOwnership.engine(world.cell))
            CHECK(engine->token() == token);
        CHECK(world.judge.summary() == "");
    }
    CHECK(claimedAgain > 0);
}
