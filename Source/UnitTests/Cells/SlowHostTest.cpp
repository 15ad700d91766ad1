// Tests of hosts that run late: they miss heartbeats and read answers after their timers have fired.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <functional>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

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
