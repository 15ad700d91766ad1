// Start orders that were left unanswered and that a later life of the worker carries out, although a refusal, a stop, a
// report, the end of the run or another owner seems to have settled them.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The first copy of a task's start order is carried out `late`. No host reaches the worker's last life for a while.
struct LateOrder : CellWorld {
    Outcome outcome;
    RunWorker* worker = nullptr;

    explicit LateOrder(Common::Duration late, const std::vector<std::string>& hostNames = { "a:1" })
        : CellWorld(static_cast<uint64_t>(late.count()))
        , m_late(late)
    {
        addWorkers("yard", 2, 8000);
        for (const std::string& name : hostNames)
            addHost("yard", name);
        // The clock of a new life stays behind that of the former one for long.
        clock.advance(30s);
    }
    /// Submits the job, which has one task, and notes the worker to which its order goes.
    void order(Jobs::JobRecord record)
    {
        for (const auto& candidate : workers)
            candidate->nextStartDelay = m_late;
        submit(*hosts.front(), std::move(record), outcome);
        while (!worker) {
            clock.advance(10ms);
            const auto found = std::find_if(
                workers.begin(), workers.end(), [](const auto& candidate) { return !candidate->nextStartDelay; });
            worker = found == workers.end() ? nullptr : found->get();
        }
        for (const auto& candidate : workers)
            candidate->nextStartDelay.reset();
    }
    void restartBehindCut()
    {
        for (const auto& host : hosts) {
            network.cut(host->address, worker->entry().address);
            network.cut(worker->entry().address, host->address);
        }
        worker->restart(100ms);
    }
    size_t owner() const
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(),
            [](const auto& host) { return !host->process.isKilled() && !host->cellOwnership.engines().empty(); });
        REQUIRE(found != hosts.end());
        return static_cast<size_t>(found - hosts.begin());
    }
    /// The cut lasts until nothing is under way any more.
    void checkTwice()
    {
        CAPTURE(m_late.count());
        clock.advance(30s);
        CHECK(judge.twice.summary() == "");
        network.heal();
        clock.advance(15s);
        CHECK(judge.twice.summary() == "");
    }

private:
    Common::Duration m_late;
};

constexpr Common::Duration mostLate = 12s;

} // namespace

// Guards against a second run after two restarts within 12 s (issue 55, TWICE).
TEST_CASE("a late order that a worker's next life has refused isn't carried out by the life after beside another run")
{
    for (Common::Duration late = 5s; late <= mostLate; late += 500ms) {
        LateOrder world(late);
        world.order(CellWorld::service(1, 1));
        world.worker->restart(300ms);
        world.clock.advance(3s);
        world.restartBehindCut();
        world.checkTwice();
        CHECK(world.running() == 1);
    }
}

// Guards against a start after the end of another copy's run was noted (issue 55, TWICE).
TEST_CASE("a late copy of an order starts no task on a next life after the run of another copy has ended")
{
    for (Common::Duration late = 5s; late <= mostLate; late += 500ms) {
        LateOrder world(late);
        world.order(CellWorld::job(1, "run:1000", 1));
        world.clock.advance(3500ms);
        world.restartBehindCut();
        world.checkTwice();
        CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
    }
}

// Guards against a run elsewhere after a refusal that counts for one life only (issue 55, TWICE).
TEST_CASE("a late order that a worker has refused isn't carried out by its next life beside another run")
{
    for (Common::Duration late = 7s; late <= mostLate; late += 500ms) {
        LateOrder world(late);
        world.order(CellWorld::service(1, 1));
        world.worker->refusesStarts = true;
        world.clock.advance(6s);
        world.worker->refusesStarts = false;
        world.restartBehindCut();
        world.checkTwice();
        CHECK(world.running() == 1);
    }
}

// Guards against a run elsewhere after a failure that counts for one life only (issue 55, TWICE).
TEST_CASE("a late copy of an order whose run has failed isn't carried out by a next life after the task is done")
{
    for (Common::Duration late = 5s; late <= mostLate; late += 500ms) {
        LateOrder world(late);
        world.order(CellWorld::job(1, "run:500", 1));
        world.worker->failsAll = true;
        world.clock.advance(3500ms);
        world.worker->failsAll = false;
        world.restartBehindCut();
        world.checkTwice();
        CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
    }
}

// Guards against a run beside one on a life that started behind the cut while the list is outdated (issue 55, TWICE).
TEST_CASE("the platform's list isn't taken for proof of the life that has carried out a late order")
{
    for (Common::Duration late = 5s; late <= mostLate; late += 500ms) {
        LateOrder world(late);
        world.order(CellWorld::service(1, 1));
        world.clock.advance(1500ms);
        world.worker->outdatedEntry = world.worker->entry();
        world.restartBehindCut();
        world.checkTwice();
        world.worker->outdatedEntry.reset();
        world.clock.advance(5s);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 1);
    }
}

// Guards against the same by a successor that doesn't know of the copy (issue 55, TWICE).
TEST_CASE("a successor notes no end while a copy of the former owner's order is under way")
{
    for (Common::Duration late = 6s; late <= mostLate; late += 500ms) {
        LateOrder world(late, { "a:1", "b:1" });
        world.order(CellWorld::job(1, "run:1500", 1));
        world.clock.advance(1200ms);
        world.restart(world.owner());
        world.clock.advance(3s);
        world.restartBehindCut();
        world.checkTwice();
    }
}
