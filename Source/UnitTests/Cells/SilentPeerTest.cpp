// Tests of submissions while connections between hosts, or their answers, are lost.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Three cells, each of a domain with a host, and one more host that owns none.
struct ThreeCells : CellWorld {
    explicit ThreeCells(uint64_t seed)
        : CellWorld(seed)
    {
        for (const char* const domain : { "yard", "shed", "barn" })
            addWorkers(domain, 4, 4000);
        for (const char* const domain : { "yard", "shed", "barn", "yard" })
            addHost(domain, "host" + std::to_string(hosts.size()) + ":1");
        clock.advance(12s);
    }
    WorldHost& hostWithoutCell()
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engines().empty())
                return *host;
        }
        return *hosts[0];
    }
};

/// One cell; the answers of its owner to one of the other hosts are lost.
struct UnheardOwner : Fleet {
    WorldHost& caller;
    WorldHost& answering;
    Outcome submitted;

    explicit UnheardOwner(uint64_t seed)
        : Fleet(seed)
        , caller(other())
        , answering(*owner())
    {
        network.cut(answering.address, caller.address);
        submit(caller, job(1, "run:500", 4), submitted);
    }
};

} // namespace

TEST_CASE("a submission isn't lost in its caller's time because the open connections to all owners are silent")
{
    for (const uint64_t seed : { 1, 2, 3, 4, 5 }) {
        CAPTURE(seed);
        ThreeCells world(seed);
        WorldHost& caller = world.hostWithoutCell();
        REQUIRE(caller.cellOwnership.engines().empty());
        REQUIRE(caller.cellOwnership.servedCells() == 3);
        caller.peer.silenceConnections();
        Outcome submitted;
        world.submit(caller, CellWorld::job(1, "run:500", 4), submitted);
        world.clock.advance(3s);
        REQUIRE(submitted);
        CHECK(submitted->hasValue());
        world.clock.advance(10s);
        CHECK(world.phase(caller, 1) == Jobs::JobPhase::Completed);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a job whose owner is asked again, since its first answer was lost, runs once")
{
    for (const uint64_t seed : { 1, 2, 3, 4, 5 }) {
        CAPTURE(seed);
        UnheardOwner world(seed);
        world.clock.advance(400ms);
        REQUIRE(world.answering.cellOwnership.engines().begin()->second->phase(CellWorld::jobId(1)));
        world.network.heal();
        world.clock.advance(900ms);
        REQUIRE(world.submitted);
        CHECK(world.submitted->hasValue());
        world.clock.advance(10s);
        CHECK(world.phase(world.caller, 1) == Jobs::JobPhase::Completed);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a submission isn't said to be refused when its owner got it and is gone when it is asked again")
{
    UnheardOwner world(1);
    world.clock.advance(400ms);
    REQUIRE(world.answering.cellOwnership.engines().begin()->second->phase(CellWorld::jobId(1)));
    world.answering.process.kill();
    world.network.heal();
    world.clock.advance(2600ms);
    REQUIRE(world.submitted);
    REQUIRE_FALSE(world.submitted->hasValue());
    CHECK(world.submitted->reason().code == Common::ErrorCode::OutcomeUnknown);
}
