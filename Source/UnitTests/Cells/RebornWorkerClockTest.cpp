// Answers and reports of a worker that has started again under its id.
#include "Cells/ScriptedOrders.h"

#include <doctest/doctest.h>

using namespace CellTests;

// Guards against grants that are far ahead of the worker's clock: the worker shortens them to its longest lease, while
// the owner takes the lease for one of the usual length and starts the tasks elsewhere (issue 44).
TEST_CASE("an answer of a worker's former life that is read after its restart doesn't set the clock of its new life")
{
    ScriptedCell cell;
    cell.answerPoll(1000, 500'000);
    cell.orderRun(0);
    REQUIRE(cell.orders.starts.size() == 1);
    cell.answerPoll(2000, 50);
    while (cell.rebirths == 0)
        cell.answerPoll(2000, 60);
    cell.orders.starts.front().answer(
        Cells::OrderAnswer { Cells::OrderVerdict::StaleAttempt, Common::WorkerTime { 500'100 } });
    cell.answerPoll(2000, 70);
    cell.orderRun(1);
    REQUIRE(cell.orders.starts.size() == 2);
    CHECK(cell.orders.starts.back().leaseUntil < Common::WorkerTime { 20'000 });
}

// Guards against a late copy of a start order that the new life carries out, although the run counts as stopped there.
TEST_CASE("an answer of a worker's former life to a stop order doesn't count for its new life")
{
    ScriptedCell cell;
    cell.keepsRuns = true;
    cell.answerPoll(1000, 500'000);
    const Cells::RunKey run = cell.orderRun(0);
    size_t stopped = 0;
    const auto stop = [&] { cell.workers.stop(cell.worker(), run, [&](Cells::OrderAnswer) { ++stopped; }); };
    stop();
    while (cell.rebirths == 0)
        cell.answerPoll(2000, 60);
    stop();
    REQUIRE(cell.orders.stops.size() == 2);
    cell.orders.stops.front()(Cells::OrderAnswer { Cells::OrderVerdict::Accepted, Common::WorkerTime { 500'100 } });
    CHECK(stopped == 0);
    cell.orders.stops.back()(Cells::OrderAnswer { Cells::OrderVerdict::Accepted, Common::WorkerTime { 100 } });
    CHECK(stopped == 1);
}

// Guards against tasks that a replaced owner starts again whose ends its successor has acknowledged to the former life.
TEST_CASE("runs that a restart has ended aren't given up before the store has confirmed the ownership since")
{
    ScriptedCell cell;
    cell.answerPoll(1000, 500'000);
    cell.orderRun(0);
    cell.storeAnswers = false;
    cell.clock.advance(std::chrono::milliseconds(10));
    for (size_t polls = 0; polls < 5; ++polls)
        cell.answerPoll(2000, static_cast<int64_t>(50 + polls));
    CHECK(cell.rebirths == 0);
    CHECK_FALSE(cell.worker().reachable);
    cell.storeAnswers = true;
    for (size_t polls = 0; polls < 2; ++polls)
        cell.answerPoll(2000, static_cast<int64_t>(5000 + polls));
    CHECK(cell.rebirths == 1);
    CHECK(cell.worker().reachable);
}
