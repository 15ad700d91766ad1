// Workers that are lost for good shortly before a task is to be started on them.
#include "Cells/Fleet.h"
#include "Cells/ScriptedOrders.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <utility>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Longest time without a run that the users' rule allows a long-running task in calm.
constexpr Common::Duration longestAbsence = 9s;

/// The platform lists a lost worker for some seconds more.
constexpr Common::Duration listedAfterLoss = 6s;

struct LossyFleet : Fleet {
    explicit LossyFleet(uint64_t seed)
        : Fleet(seed)
    {
        Jobs::JobRecord record = service(1, 1);
        record.spec.steps[0].resources.milliCores = 4000;
        submit(other(), std::move(record), m_outcome);
        clock.advance(3s);
    }
    RunWorker& holder()
    {
        return **std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
    }
    void lose(RunWorker& worker)
    {
        worker.outdatedEntry = worker.entry();
        worker.crash();
        clock.schedule(listedAfterLoss, [&worker] {
            worker.outdatedEntry.reset();
            worker.listed = false;
        });
    }

private:
    Outcome m_outcome;
};

/// A worker whose polls are answered by the test, and a run that is ordered after its last answer has grown old.
struct ProbedWorker : ScriptedCell {
    std::optional<Cells::OrderVerdict> verdict;

    ProbedWorker()
    {
        settings.answerAgeAtStart = Cells::CellSettings {}.answerAgeAtStart;
        answerPoll(1000, 500'000);
        const Cells::RunKey run { { Common::JobId("0000000000000001"), 0, 0, 0 }, Common::AttemptNumber { 1 } };
        worker().addAllocation(run, {});
        workers.start(worker(), Cells::RunOrder { run.task, run.attempt, "last", {}, {} },
            [this](const Cells::OrderAnswer& answer) { verdict = answer.verdict; });
        REQUIRE(orders.starts.empty());
    }
    void answerProbe(int64_t born)
    {
        const ScriptedOrders::Poll probe = std::move(orders.polls.back());
        orders.polls.pop_back();
        CHECK(probe.request.wait == Common::Duration::zero());
        CHECK(probe.request.acknowledgedThrough == 0);
        CHECK_FALSE(probe.request.leaseUntil);
        Cells::RunReport report;
        report.startedAtMilliseconds = born;
        probe.answer(report);
    }
};

} // namespace

// LOST: a task was ordered to an idle worker that was gone already, and was kept for it for half a minute.
TEST_CASE("a long-running task whose worker is lost runs again soon although idle workers are lost, too")
{
    constexpr size_t alsoLost = 3;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        for (Common::Duration later = 3s; later <= 8s; later += 100ms) {
            CAPTURE(seed);
            CAPTURE(later.count());
            LossyFleet fleet(seed);
            REQUIRE(fleet.running() == 1);
            fleet.lose(fleet.holder());
            fleet.clock.advance(later);
            size_t lost = 0;
            for (const auto& worker : fleet.workers) {
                if (worker->up() && worker->running() == 0 && lost < alsoLost) {
                    fleet.lose(*worker);
                    ++lost;
                }
            }
            REQUIRE(lost == alsoLost);
            fleet.clock.advance(longestAbsence);
            CHECK(fleet.running() == 1);
            CHECK(fleet.judge.summary().empty());
        }
    }
}

TEST_CASE("an order is sent when a probe was answered, also by a worker that doesn't tell its life")
{
    for (const int64_t born : { 1000, 0 }) {
        CAPTURE(born);
        ProbedWorker world;
        world.answerProbe(born);
        CHECK(world.orders.starts.size() == 1);
        CHECK_FALSE(world.verdict);
    }
}

TEST_CASE("an order is withdrawn when a probe is unanswered, or answered by another life")
{
    for (const bool answers : { false, true }) {
        CAPTURE(answers);
        ProbedWorker world;
        if (answers)
            world.answerProbe(2000);
        world.clock.advance(Cells::CellSettings {}.probeTimeout);
        CHECK(world.orders.starts.empty());
        CHECK(world.verdict == Cells::OrderVerdict::Withdrawn);
        CHECK_FALSE(world.worker().isOpen());
    }
}

// Guards against a worker that gets no work any more once it has left a probe unanswered.
TEST_CASE("a worker that left a probe unanswered is open again after its next report")
{
    ProbedWorker world;
    world.clock.advance(Cells::CellSettings {}.probeTimeout);
    REQUIRE_FALSE(world.worker().isOpen());
    // Drops the probe; the ordered start has brought the next poll forward.
    world.orders.polls.pop_front();
    world.clock.advance(Cells::CellSettings {}.answerTimeout);
    REQUIRE(world.orders.polls.size() == 1);
    world.answerPoll(1000, 501'000);
    CHECK(world.worker().isOpen());
}
