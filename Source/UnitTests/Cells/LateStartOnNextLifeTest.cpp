// Start orders that were left unanswered and are carried out by the worker's next life, which no host reaches: the run
// then has the longest lease that workers accept.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The first copy of a task's start order is carried out `late`, the second one is answered. The worker then starts
/// again, and no host reaches it for the time being.
struct LateStart : CellWorld {
    Outcome outcome;
    RunWorker* reborn = nullptr;

    LateStart(const std::vector<std::string>& names, const std::string& payload, Common::Duration late)
        : CellWorld(static_cast<uint64_t>(late.count()))
    {
        addWorkers("yard", 2, 8000);
        for (const std::string& name : names)
            addHost("yard", name);
        // The clock of a new life stays behind that of the former one for long.
        clock.advance(30s);
        for (const auto& worker : workers)
            worker->nextStartDelay = late;
        submit(*hosts.front(), job(1, payload, 1), outcome);
        clock.advance(1500ms);
        REQUIRE(running() == 1);
        reborn = std::find_if(workers.begin(), workers.end(), [](const auto& worker) {
            return worker->running() > 0;
        })->get();
        for (const auto& worker : workers)
            worker->nextStartDelay.reset();
        reborn->restart(600ms);
        clock.advance(650ms);
        for (const auto& host : hosts)
            cutBoth(host->address, reborn->entry().address);
    }
    void cutBoth(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    size_t owner() const
    {
        const auto found = std::find_if(
            hosts.begin(), hosts.end(), [](const auto& host) { return !host->cellOwnership.engines().empty(); });
        REQUIRE(found != hosts.end());
        return static_cast<size_t>(found - hosts.begin());
    }
};

constexpr Common::Duration leastLate = 3s;
constexpr Common::Duration mostLate = 12s;

} // namespace

// Guards against a second run beside the one that a late order has started behind a cut (issue 49, TWICE).
TEST_CASE("a late start on a worker's next life that no host reaches doesn't run beside the task's next run")
{
    for (Common::Duration late = leastLate; late <= mostLate; late += 500ms) {
        CAPTURE(late.count());
        LateStart world({ "a:1" }, "last", late);
        world.clock.advance(30s);
        CHECK(world.judge.twice.summary() == "");
        world.network.heal();
        world.clock.advance(5s);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 1);
    }
}

// Guards against a start after the end of a late run that is read when the cut is over (issue 49, TWICE).
TEST_CASE("the end of a late start's run on a worker's next life counts although it is read late")
{
    for (Common::Duration late = leastLate; late <= mostLate; late += 500ms) {
        for (const Common::Duration cut : { 10s, 12s, 14s, 16s }) {
            CAPTURE(late.count());
            CAPTURE(cut.count());
            LateStart world({ "a:1" }, "run:2000", late);
            world.clock.advance(cut);
            world.network.heal();
            world.clock.advance(30s);
            CHECK(world.judge.twice.summary() == "");
            CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
        }
    }
}

// Guards against the same by a successor, which doesn't know of the order (issue 49, TWICE).
TEST_CASE("a successor starts no task beside a late start on a next life that no host reaches")
{
    for (Common::Duration late = leastLate; late <= mostLate; late += 500ms) {
        CAPTURE(late.count());
        LateStart world({ "a:1", "b:1" }, "last", late);
        const size_t owner = world.owner();
        world.restart(owner);
        world.cutBoth(world.hosts.back()->address, world.reborn->entry().address);
        world.clock.advance(35s);
        CHECK(world.judge.twice.summary() == "");
        world.network.heal();
        world.clock.advance(5s);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 1);
    }
}

// Guards against the same when the worker, cut off from the store as well, has left the platform's list before.
TEST_CASE("a successor knows from the cell's record that a worker which isn't listed any more had started again")
{
    for (Common::Duration late = 6s; late <= mostLate; late += 500ms) {
        CAPTURE(late.count());
        LateStart world({ "a:1", "b:1" }, "last", late);
        // The owner learns of the restart from the list.
        world.clock.advance(1500ms);
        world.reborn->listed = false;
        world.restart(world.owner());
        world.cutBoth(world.hosts.back()->address, world.reborn->entry().address);
        world.clock.advance(35s);
        CHECK(world.judge.twice.summary() == "");
        world.network.heal();
        world.reborn->listed = true;
        world.clock.advance(5s);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 1);
    }
}

// Guards against a task that is held although nothing can start it any more (issue 49, LOST).
TEST_CASE("a task isn't held for a late start on a worker that another one has replaced")
{
    CellWorld world(1);
    Outcome outcome;
    world.addWorkers("yard", 3, 8000);
    world.addHost("yard", "a:1");
    world.clock.advance(30s);
    for (const auto& worker : world.workers)
        worker->nextStartDelay = mostLate;
    world.submit(*world.hosts.front(), CellWorld::service(1, 1), outcome);
    world.clock.advance(1500ms);
    const auto busy = std::find_if(
        world.workers.begin(), world.workers.end(), [](const auto& worker) { return worker->running() > 0; });
    REQUIRE(busy != world.workers.end());
    for (const auto& worker : world.workers)
        worker->nextStartDelay.reset();
    (*busy)->crash();
    Cells::WorkerEntry entry = (*busy)->entry();
    entry.id = Common::WorkerId("replacement");
    world.workers.push_back(std::make_unique<RunWorker>(world.clock, world.judge, entry));
    world.workerDirectory[entry.address] = world.workers.back().get();
    world.clock.advance(11s);
    CHECK(world.running() == 1);
    CHECK(world.judge.twice.summary() == "");
}
