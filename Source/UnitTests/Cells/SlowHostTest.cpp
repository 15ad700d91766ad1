// Tests of hosts that run late: they miss heartbeats and read answers after their timers have fired.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// One host that owns one cell and runs a job of six tasks.
struct SingleOwner : CellWorld {
    WorldHost& owner;
    Outcome submitted;

    explicit SingleOwner(const std::string& payload)
        : CellWorld(1)
        , owner((addWorkers("yard", 3, 4000), addHost("yard", "a:1")))
    {
        clock.advance(8s);
        submit(owner, job(1, payload, 6), submitted);
        clock.advance(600ms);
        REQUIRE(judge.starts == 6);
    }
    /// Checks at the host that the job completes and that no task was started twice.
    void checkRanOnce(WorldHost& host)
    {
        clock.advance(5s);
        CHECK(judge.starts == 6);
        CHECK(phase(host, 1) == Jobs::JobPhase::Completed);
        CHECK(judge.summary() == "");
    }
};

/// Lets the process run for a moment only after each stall, too short for an answer to arrive in it.
void stallRepeatedly(CellWorld& world, WorldHost& host, Common::Duration stall, Common::Duration total)
{
    host.process.timersFirst = true;
    const Common::MonotonicTime end = world.clock.now() + total;
    while (world.clock.now() < end) {
        host.process.pause();
        world.clock.advance(stall);
        host.process.resume();
        world.clock.advance(1ms);
    }
}

Cells::FencingToken tokenOf(const WorldHost& owner) { return owner.cellOwnership.engines().begin()->second->token(); }

} // namespace

TEST_CASE("a host that receives no heartbeats takes no cell from an owner that answers calls")
{
    Fleet fleet;
    WorldHost* const owner = fleet.owner();
    const Cells::FencingToken token = tokenOf(*owner);
    fleet.other().heartbeats.dropsAll = true;
    fleet.clock.advance(20s);
    CHECK(fleet.owner() == owner);
    CHECK(tokenOf(*owner) == token);
}

TEST_CASE("a host that receives no heartbeats takes the cell of an owner that has died")
{
    Fleet fleet;
    WorldHost* const owner = fleet.owner();
    for (WorldHost* const host : fleet.live())
        host->heartbeats.dropsAll = host != owner;
    owner->process.kill();
    fleet.clock.advance(8s);
    CHECK(fleet.owners() == 1);
}

TEST_CASE("an owner that answers calls but has lost its authority is replaced")
{
    Fleet fleet;
    WorldHost* const owner = fleet.owner();
    const Cells::FencingToken token = tokenOf(*owner);
    // Without heartbeats the owner knows no host through which it could reach the store.
    for (WorldHost* const host : fleet.live())
        host->heartbeats.dropsAll = true;
    fleet.store.rejectedHosts.insert(owner->address);
    fleet.clock.advance(20s);
    const auto live = fleet.live();
    CHECK(std::any_of(live.begin(), live.end(), [owner, token](const WorldHost* host) {
        return host != owner && !host->cellOwnership.engines().empty() && token < tokenOf(*host);
    }));
    CHECK(fleet.judge.summary() == "");
}

TEST_CASE("an owner that reads workers' answers too late starts no task again that has ended there")
{
    SingleOwner world("run:1200");
    stallRepeatedly(world, world.owner, 2300ms, 14s);
    world.checkRanOnce(world.owner);
}

TEST_CASE("a successor that reads workers' answers too late starts no task again that has ended there")
{
    SingleOwner world("run:1200");
    world.owner.process.kill();
    // The process that replaces it at the same address knows that no lease of its predecessor is renewed.
    WorldHost& successor = world.addHost("yard", "a:1");
    for (const auto& worker : world.workers)
        world.network.cut(successor.address, worker->entry().address);
    while (successor.cellOwnership.engines().empty())
        world.clock.advance(10ms);
    world.network.heal();
    stallRepeatedly(world, successor, 2300ms, 16s);
    world.checkRanOnce(successor);
}

TEST_CASE("an owner whose stalls end with the timeouts of its polls starts no task again that has ended")
{
    for (int stall = 300; stall <= 1000; stall += 50) {
        CAPTURE(stall);
        SingleOwner world("run:1200");
        stallRepeatedly(world, world.owner, std::chrono::milliseconds(stall), 20s);
        world.checkRanOnce(world.owner);
    }
}

TEST_CASE("runs aren't taken for stuck because their owner was late")
{
    SingleOwner world("run:20000");
    WorldHost& owner = world.owner;
    owner.process.timersFirst = true;
    for (int stall = 0; stall < 3; ++stall) {
        owner.process.pause();
        world.clock.advance(3s);
        owner.process.resume();
        world.clock.advance(1500ms);
    }
    CHECK(world.running() == 6);
    CHECK(world.judge.starts == 6);
    CHECK(world.judge.summary() == "");
}
