// A worker that starts again may be of another kind; only the entry of its present life says which tasks it may run.
#include "Cells/Fleet.h"
#include "Cells/ScriptedOrders.h"

#include <doctest/doctest.h>

#include <optional>

using namespace CellTests;
using namespace std::chrono_literals;
using Cells::OrderVerdict;

namespace {

constexpr int64_t milliCores = 4000;

/// One worker has the label that two jobs require. A long-running task of the first job fills it; the second job waits.
struct KindFleet : Fleet {
    KindFleet()
    {
        addWorkers("yard", 1, milliCores, { "b" });
        clock.advance(6s);
        submit(other(), requiring(service(1, 1)), m_first);
        clock.advance(2s);
        submit(other(), requiring(job(2, "run:60000", 1)), m_second);
        clock.advance(2s);
    }
    static Jobs::JobRecord requiring(Jobs::JobRecord record)
    {
        record.spec.steps[0].requiredLabel = "b";
        record.spec.steps[0].resources.milliCores = milliCores;
        return record;
    }
    RunWorker& labelled() { return *workers.back(); }
    /// Whether the first task fills the worker and the second one waits.
    bool isFull() { return labelled().running() == 1 && judge.starts == 1; }

private:
    Outcome m_first;
    Outcome m_second;
};

} // namespace

// ROUTE: a task was started on the next life of a worker, which lacked the required label, by the entry of the former.
TEST_CASE("no task is started by the label of a former life")
{
    KindFleet fleet;
    REQUIRE(fleet.isFull());
    // The list shows the former life for longer than it takes to hear of the next one.
    fleet.labelled().outdatedEntry = fleet.labelled().entry();
    fleet.labelled().restartAs({ "a" }, milliCores);
    fleet.clock.advance(10s);
    CHECK(fleet.labelled().running() == 0);
    fleet.labelled().outdatedEntry.reset();
    fleet.clock.advance(10s);
    CHECK(fleet.labelled().running() == 0);
    CHECK(fleet.judge.starts == 1);
}

// LIMIT: a task was started on the next life of a worker, which was smaller, by the capacity of the former.
TEST_CASE("no task is started by the capacity of a former life")
{
    KindFleet fleet;
    REQUIRE(fleet.isFull());
    fleet.labelled().outdatedEntry = fleet.labelled().entry();
    fleet.labelled().restartAs({ "b" }, milliCores / 2);
    fleet.clock.advance(10s);
    fleet.labelled().outdatedEntry.reset();
    fleet.clock.advance(10s);
    CHECK(fleet.labelled().running() == 0);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("the next life of a worker gets work soon although the watch of the list is silent")
{
    KindFleet fleet;
    REQUIRE(fleet.isFull());
    for (WorldHost* const host : fleet.live())
        host->workers.silenceConnection();
    fleet.labelled().restartAs({ "b" }, milliCores);
    fleet.clock.advance(2s);
    CHECK(fleet.labelled().running() == 1);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("while the entry of the next life can't be read, its worker gets no work and others do")
{
    KindFleet fleet;
    REQUIRE(fleet.isFull());
    for (WorldHost* const host : fleet.live()) {
        host->workers.silenceConnection();
        host->workers.storeDown = true;
    }
    fleet.labelled().restartAs({ "a" }, milliCores);
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(3, "run:60000", 8), outcome);
    fleet.clock.advance(2s);
    CHECK(fleet.labelled().running() == 0);
    CHECK(fleet.running() == 8);
}

// ROUTE: an order that had found no connection was sent again to the next life.
TEST_CASE("an order that no life has received isn't sent to a next one")
{
    ScriptedCell cell;
    cell.keepsRuns = true;
    cell.answerPoll(1000, 500'000);
    const Cells::RunKey run { { Common::JobId("0000000000000001"), 0, 0, 0 }, Common::AttemptNumber { 1 } };
    std::optional<OrderVerdict> verdict;
    cell.worker().addAllocation(run, {});
    cell.workers.start(cell.worker(), Cells::RunOrder { run.task, run.attempt, "last", {}, {} },
        [&verdict](const Cells::OrderAnswer& answer) { verdict = answer.verdict; });
    REQUIRE(cell.orders.starts.size() == 1);
    const ScriptedOrders::Start start = std::move(cell.orders.starts.front());
    cell.orders.starts.pop_front();
    start.answer(Common::Failure { Common::ErrorCode::ConnectFailed, "w0:1", std::nullopt });
    Cells::WorkerEntry reborn = cell.worker().entry();
    reborn.startedAtMilliseconds = 2000;
    cell.workers.add(reborn);
    cell.clock.advance(10ms);
    while (!cell.orders.polls.empty() && !cell.worker().reachable)
        cell.answerPoll(2000, 100);
    REQUIRE(cell.worker().reachable);
    cell.clock.advance(1s);
    CHECK(verdict == OrderVerdict::Withdrawn);
    CHECK(cell.orders.starts.empty());
}
