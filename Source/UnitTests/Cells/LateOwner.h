// Hosts that stay late, for tests of late owners.
#pragma once

#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace CellTests {

using namespace std::chrono_literals; // NOLINT: only tests include this

/// Pauses the process for `stall` again and again, with short runs between, until `until`.
inline void stallUntil(CellWorld& world, WorldHost& host, Common::Duration stall, Common::MonotonicTime until)
{
    if (world.clock.now() >= until || host.process.isKilled())
        return;
    host.process.timersFirst = true;
    host.process.pause();
    world.clock.schedule(stall, [&world, &host, stall, until] {
        host.process.resume();
        world.clock.schedule(1ms, [&world, &host, stall, until] { stallUntil(world, host, stall, until); });
    });
}

/// Longest time in the period for which fewer tasks than `expected` ran.
inline Common::Duration longestShortage(CellWorld& world, size_t expected, Common::Duration period)
{
    const Common::MonotonicTime end = world.clock.now() + period;
    Common::MonotonicTime complete = world.clock.now();
    Common::Duration longest {};
    while (world.clock.now() < end) {
        world.clock.advance(100ms);
        if (world.running() >= expected)
            complete = world.clock.now();
        longest = std::max(longest, world.clock.now() - complete);
    }
    return longest;
}

/// Checks that the only host, while it stalls, starts the tasks of a worker that it can't reach on other workers.
inline void checkTasksAreStartedAgain(Common::Duration stall)
{
    CellWorld world(1);
    world.addWorkers("yard", 3, 4000);
    WorldHost& owner = world.addHost("yard", "a:1");
    world.clock.advance(8s);
    Outcome submitted;
    world.submit(owner, CellWorld::service(1, 6), submitted);
    world.clock.advance(2s);
    REQUIRE(world.running() == 6);
    stallUntil(world, owner, stall, world.clock.now() + 40s);
    const std::string lost = world.workers.front()->entry().address;
    world.network.cut(lost, owner.address);
    world.network.cut(owner.address, lost);
    world.clock.advance(9s);
    CHECK(longestShortage(world, 6, 30s) <= 9s);
    CHECK(world.judge.summary() == "");
}

} // namespace CellTests
