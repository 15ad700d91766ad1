// Polls that renew the lease of a worker's former life and are carried out by its next one: what they say of the former
// life's clock is far ahead, so the next life gets the longest lease that workers accept.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;

namespace {

struct LateHolds : CellWorld {
    Outcome outcome;
    Outcome filler;
    RunWorker* reborn = nullptr;

    LateHolds(uint64_t seed, const std::vector<std::string>& names)
        : CellWorld(seed)
    {
        addWorkers("yard", 3, 4000);
        for (const std::string& name : names)
            addHost("yard", name);
        // The clock of a new life stays behind that of the former one for long.
        clock.advance(30s);
        submit(*hosts.front(), service(1, 9), outcome);
        clock.advance(1s);
        // Fills the room, so that the lost tasks start on the new life, and leaves it before that one's lease has
        // passed.
        submit(*hosts.front(), job(2, "run:6500", 3), filler);
        clock.advance(1s);
        REQUIRE(running() == 12);
        reborn = workers.front().get();
        latePerMille = 1000;
        clock.advance(1500ms);
        reborn->restart(200ms);
        clock.advance(100ms);
        latePerMille = 0;
    }
    /// No host reaches the worker any more.
    void cutReborn()
    {
        for (const auto& host : hosts) {
            network.cut(host->address, reborn->entry().address);
            network.cut(reborn->entry().address, host->address);
        }
    }
};

} // namespace

// Guards against tasks that the owner starts again while they run on a worker whose lease it can't know.
TEST_CASE("the tasks of a silent worker don't run twice if a poll of its former life has extended its lease")
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        for (const Common::Duration after : { 2000ms, 3000ms, 4000ms, 5000ms }) {
            CAPTURE(seed);
            CAPTURE(after.count());
            LateHolds world(seed, { "a:1" });
            world.clock.advance(after);
            world.cutReborn();
            // The longest wait for late orders, and two suspects of the crash that are isolated for 10 s each.
            world.clock.advance(50s);
            CHECK(world.judge.twice.summary() == "");
            CHECK(world.running() == 8);
        }
    }
}

// Guards against the same by a successor, which doesn't know of the restart.
TEST_CASE("a successor starts no task of a silent worker whose lease a poll of its former life has extended")
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        for (const Common::Duration after : { 2000ms, 3000ms, 4000ms, 5000ms }) {
            CAPTURE(seed);
            CAPTURE(after.count());
            LateHolds world(seed, { "a:1", "b:1" });
            world.clock.advance(after);
            const auto owner = std::find_if(world.hosts.begin(), world.hosts.end(),
                [](const auto& host) { return !host->cellOwnership.engines().empty(); });
            REQUIRE(owner != world.hosts.end());
            world.cutReborn();
            // The new process is known to be alone, so that it waits for run leases only.
            world.restart(static_cast<size_t>(owner - world.hosts.begin()));
            world.clock.advance(50s);
            CHECK(world.judge.twice.summary() == "");
            CHECK(world.running() == 8);
        }
    }
}
