// Workers that their owner can't reach while their runs end: nothing is done twice that another host, or the worker
// itself once it is reached again, can still tell of.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace CellTests;

namespace {

using namespace std::chrono_literals;

struct CutWorkerFleet : Fleet {
    /// A worker with runs; null when there is none.
    RunWorker* busyWorker()
    {
        const auto busy
            = std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
        return busy == workers.end() ? nullptr : busy->get();
    }
    void cutBoth(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    void cutFromAllHosts(const RunWorker& worker)
    {
        for (WorldHost* const host : live())
            cutBoth(host->address, worker.entry().address);
    }
    uint64_t starts() const
    {
        return std::accumulate(workers.begin(), workers.end(), uint64_t { 0 },
            [](uint64_t sum, const auto& worker) { return sum + worker->starts; });
    }
};

} // namespace

// Guards against a second run of work that was done while one host didn't reach the worker.
TEST_CASE("a task that ends on a worker which only its owner can't reach is started once")
{
    for (Common::Duration offset {}; offset < 1500ms; offset += 300ms) {
        CAPTURE(offset.count());
        CutWorkerFleet fleet;
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::job(1, "run:2000", 6), submitted);
        fleet.clock.advance(400ms + offset);
        RunWorker* const lost = fleet.busyWorker();
        REQUIRE(lost);
        fleet.cutBoth(fleet.owner()->address, lost->entry().address);
        fleet.clock.advance(20s);
        CHECK(fleet.phase(fleet.other(), 1) == Jobs::JobPhase::Completed);
        fleet.network.heal();
        fleet.clock.advance(10s);
        CHECK(fleet.starts() == 6);
        CHECK(fleet.judge.twice.summary() == "");
    }
}

// Guards against giving up long-running tasks that run on.
TEST_CASE("a long-running task on a worker which only its owner can't reach keeps its lease")
{
    CutWorkerFleet fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 6);
    fleet.cutBoth(fleet.owner()->address, fleet.busyWorker()->entry().address);
    for (int second = 0; second < 30; ++second) {
        fleet.clock.advance(1s);
        CHECK(fleet.running() == 6);
    }
    fleet.network.heal();
    fleet.clock.advance(10s);
    CHECK(fleet.starts() == 6);
}

// Guards against a second run of work that was done on a worker which no host reached for longer than a run lease.
TEST_CASE("a task that ends on a listed worker which no host reaches for nine seconds is started once")
{
    for (Common::Duration offset {}; offset < 1500ms; offset += 300ms) {
        CAPTURE(offset.count());
        CutWorkerFleet fleet;
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::job(1, "run:2000", 6), submitted);
        fleet.clock.advance(400ms + offset);
        RunWorker* const lost = fleet.busyWorker();
        REQUIRE(lost);
        fleet.cutFromAllHosts(*lost);
        fleet.clock.advance(9s);
        fleet.network.heal();
        fleet.clock.advance(10s);
        CHECK(fleet.phase(fleet.other(), 1) == Jobs::JobPhase::Completed);
        CHECK(fleet.starts() == 6);
        CHECK(fleet.judge.twice.summary() == "");
    }
}

// Guards against waiting for a worker for good.
TEST_CASE("the tasks of a listed worker that no host reaches again are started elsewhere")
{
    CutWorkerFleet fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:2000", 6), submitted);
    fleet.clock.advance(1s);
    fleet.cutFromAllHosts(*fleet.busyWorker());
    fleet.clock.advance(20s);
    CHECK(fleet.phase(fleet.other(), 1) == Jobs::JobPhase::Completed);
}

// Guards against waiting for an end that can't come: the run outlasts its lease.
TEST_CASE("a task that can't have ended before the lease of its silent worker passed is started again at once")
{
    CutWorkerFleet fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 6);
    RunWorker* const lost = fleet.busyWorker();
    fleet.cutFromAllHosts(*lost);
    fleet.clock.advance(8s);
    CHECK(lost->running() == 0);
    CHECK(fleet.running() == 6);
}
