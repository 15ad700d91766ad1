// Runs during an outage of the store: they last as long as the authority of their owner, and no longer.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// A cell that runs long-running tasks, and nothing is written, when the store becomes silent.
struct SilencedFleet : Fleet {
    Outcome submitted;

    explicit SilencedFleet(Common::Duration offset)
    {
        submit(other(), service(1, 6), submitted);
        clock.advance(6s + offset);
        REQUIRE(running() == 6);
        for (WorldHost* const host : live())
            network.cut(host->address, Fakes::FakeRecordStore::address);
    }
    /// The least number of runs at any moment of the period.
    size_t leastRunning(Common::Duration period)
    {
        size_t least = running();
        const Common::MonotonicTime end = clock.now() + period;
        while (clock.now() < end) {
            clock.advance(20ms);
            least = std::min(least, running());
        }
        return least;
    }
};

/// Offsets over more than the time between two confirmations of the ownership.
constexpr Common::Duration offsets = 2500ms;
/// Shorter than the authority by the time between two confirmations, a retry and a poll.
constexpr Common::Duration survivedOutage = 5500ms;

} // namespace

TEST_CASE("runs survive an outage of the store of 5.5 s, whenever the ownership was confirmed last")
{
    for (Common::Duration offset {}; offset < offsets; offset += 100ms) {
        CAPTURE(offset.count());
        SilencedFleet fleet(offset);
        CHECK(fleet.leastRunning(survivedOutage) == 6);
        fleet.network.heal();
        CHECK(fleet.leastRunning(5s) == 6);
        CHECK(fleet.judge.summary() == "");
    }
}

TEST_CASE("long-running tasks whose runs have ended in a long outage of the store run again soon after it")
{
    for (const Common::Duration outage : { 9s, 12s, 15s, 25s }) {
        CAPTURE(outage.count());
        SilencedFleet fleet(0ms);
        fleet.clock.advance(outage);
        fleet.network.heal();
        fleet.clock.advance(3s);
        CHECK(fleet.running() == 6);
        CHECK(fleet.judge.summary() == "");
    }
}

TEST_CASE("no run outlasts the authority of its owner in an outage of the store")
{
    SilencedFleet fleet(0ms);
    fleet.clock.advance(fleet.owner()->cellSettings.authority + 200ms);
    CHECK(fleet.running() == 0);
}

// Guards against runs that are started only to lapse, and against orders that arrive after the end of their lease.
TEST_CASE("no run is started in the last second of the authority of its owner")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::job(1, "run:300", 2000), submitted);
        fleet.clock.advance(2s);
        REQUIRE(fleet.running() > 0);
        for (WorldHost* const host : fleet.live())
            fleet.network.cut(host->address, Fakes::FakeRecordStore::address);
        fleet.clock.advance(fleet.owner()->cellSettings.authority - 1s);
        const uint64_t starts = fleet.judge.starts;
        fleet.clock.advance(3s);
        CHECK(fleet.judge.starts == starts);
    }
}
