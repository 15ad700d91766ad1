// Start orders for which no connection was established, on a worker that then starts again under its id.
#include "Cells/ScriptedOrders.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Each copy of the order of one run fails; then the worker starts again, and its new life answers no call.
struct UnsentOrder : ScriptedCell {
    const Cells::RunKey run { { Common::JobId("0000000000000001"), 0, 0, 0 }, Common::AttemptNumber { 1 } };
    std::optional<Cells::OrderVerdict> verdict;

    explicit UnsentOrder(const std::vector<Common::ErrorCode>& failures)
    {
        keepsRuns = true;
        answerPoll(1000, 500'000);
        worker().addAllocation(run, {});
        workers.start(worker(), Cells::RunOrder { run.task, run.attempt, "last", {}, {} },
            [this](const Cells::OrderAnswer& answer) { verdict = answer.verdict; });
        for (const Common::ErrorCode failure : failures) {
            for (size_t steps = 0; steps < 1000 && orders.starts.empty(); ++steps)
                clock.advance(1ms);
            REQUIRE(orders.starts.size() == 1);
            const ScriptedOrders::Start start = std::move(orders.starts.front());
            orders.starts.pop_front();
            start.answer(Common::Failure { failure, "w0:1", std::nullopt });
        }
        REQUIRE_FALSE(verdict);
        Cells::WorkerEntry reborn = worker().entry();
        reborn.startedAtMilliseconds = 2000;
        workers.add(reborn);
        clock.advance(1s);
        REQUIRE(rebirths == 1);
        REQUIRE_FALSE(worker().reachable);
    }
};

} // namespace

// Guards against a task that is held for an order that no life of the worker can carry out (issue 58).
TEST_CASE("an order that found no connection is withdrawn when its worker has started again and is silent")
{
    for (const size_t copies : { 1, 2, 3 }) {
        CAPTURE(copies);
        UnsentOrder world(std::vector(copies, Common::ErrorCode::ConnectFailed));
        CHECK(world.verdict == Cells::OrderVerdict::Withdrawn);
        CHECK_FALSE(world.worker().callsUnderWay.hasStarts());
    }
}

// Guards against a second run beside one that a late copy starts.
TEST_CASE("an order isn't withdrawn when one of its copies may have been written, whatever came of the others")
{
    using Common::ErrorCode;
    for (const ErrorCode lost : { ErrorCode::Timeout, ErrorCode::ConnectionLost, ErrorCode::TruncatedAnswer }) {
        for (const std::vector<ErrorCode>& failures : {
                 std::vector { lost },
                 std::vector { lost, ErrorCode::ConnectFailed },
                 std::vector { ErrorCode::ConnectFailed, lost },
                 std::vector { ErrorCode::ConnectFailed, lost, ErrorCode::ConnectFailed },
             }) {
            UnsentOrder world(failures);
            CHECK_FALSE(world.verdict);
            CHECK(world.worker().callsUnderWay.lastStart(world.run.task));
            CHECK(world.worker().find(world.run)->startOutcomeUnknown);
        }
    }
}
