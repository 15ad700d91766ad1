// The judge of rule TWICE reports what the rule forbids and nothing else, and fake workers limit leases.
#include "Cells/TwiceJudge.h"
#include "Cells/RunWorker.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

const Jobs::TaskName task { Common::JobId("0000000000000001"), 0, 0, 0 };
constexpr Common::MonotonicTime begin {};

Common::AttemptNumber attempt(uint32_t number) { return Common::AttemptNumber { number }; }

/// A judge that has seen the task end done on w0.
TwiceJudge doneOnce()
{
    TwiceJudge judge;
    judge.started("w0", task, attempt(1), begin);
    judge.gone("w0", task);
    judge.done("w0", task, attempt(1));
    return judge;
}

} // namespace

TEST_CASE("two runs of a task at the same time are a fault, one after the other aren't")
{
    TwiceJudge judge;
    judge.started("w0", task, attempt(1), begin);
    judge.gone("w0", task);
    judge.started("w1", task, attempt(2), begin);
    CHECK(judge.faults.empty());
    judge.started("w2", task, attempt(3), begin);
    CHECK(judge.faults.size() == 1);
}

TEST_CASE("a start after an end as done is a fault once the end is noted, before the start or after it")
{
    TwiceJudge notedBefore = doneOnce();
    notedBefore.acknowledged("w0", task, attempt(1));
    CHECK(notedBefore.faults.empty());
    notedBefore.started("w1", task, attempt(2), begin);
    CHECK(notedBefore.faults.size() == 1);

    TwiceJudge notedLater = doneOnce();
    notedLater.started("w1", task, attempt(2), begin);
    CHECK(notedLater.faults.empty());
    notedLater.acknowledged("w0", task, attempt(1));
    CHECK(notedLater.faults.size() == 1);
}

TEST_CASE("an end whose worker's lease lapsed before it was noted forbids no start, for good")
{
    TwiceJudge judge = doneOnce();
    judge.endsExempt("w1");
    judge.started("w1", task, attempt(2), begin);
    judge.endsExempt("w0");
    judge.acknowledged("w0", task, attempt(1));
    judge.gone("w1", task);
    judge.started("w2", task, attempt(3), begin);
    CHECK(judge.faults.empty());

    TwiceJudge lapsedAfterwards = doneOnce();
    lapsedAfterwards.acknowledged("w0", task, attempt(1));
    lapsedAfterwards.endsExempt("w0");
    lapsedAfterwards.started("w1", task, attempt(2), begin);
    CHECK(lapsedAfterwards.faults.size() == 1);
}

TEST_CASE("a start over a second after the job was shown as completed is a fault")
{
    TwiceJudge judge;
    judge.shownCompleted(task.job, begin);
    judge.started("w0", task, attempt(1), begin + 1s);
    CHECK(judge.faults.empty());
    judge.gone("w0", task);
    judge.started("w0", task, attempt(2), begin + 1001ms);
    CHECK(judge.faults.size() == 1);
}

TEST_CASE("a fake worker shortens a lease to ten seconds and reports to the judge")
{
    Fakes::VirtualRuntime world(1);
    RunJudge judge;
    Cells::WorkerEntry entry;
    entry.id = Common::WorkerId("w0");
    entry.capacity = Common::Resources { 0, 4000, 100'000, 0 };
    RunWorker worker(world, judge, entry);
    Jobs::JobSpec& spec = judge.submitted[task.job];
    spec.steps.emplace_back().taskCount = 1;
    Cells::RunOrder order;
    order.task = task;
    order.attempt = attempt(1);
    order.payload = "run:9000";
    worker.start(Cells::FencingToken { 1 }, order, Common::WorkerTime { 60'000 }, [](const auto&) {});
    world.advance(9900ms);
    CHECK(judge.wasDone(task));
    CHECK_FALSE(worker.hasLeaseLapsed());
    world.advance(200ms);
    CHECK(worker.hasLeaseLapsed());
    Cells::WorkerOrders::PollRequest poll;
    poll.token = Cells::FencingToken { 1 };
    poll.acknowledgedThrough = 1;
    worker.pollRuns(poll, [](const auto&) {});
    order.attempt = attempt(2);
    worker.start(Cells::FencingToken { 1 }, order, Common::WorkerTime { 60'000 }, [](const auto&) {});
    CHECK(worker.running() == 1);
    CHECK(judge.twice.summary() == "");
}
