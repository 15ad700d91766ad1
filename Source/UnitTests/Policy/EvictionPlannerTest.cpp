// Relief comes in steps, waits for the effect of the last step and loses the least work.
#include "Policy/EvictionPlanner.h"

#include <doctest/doctest.h>

#include <map>

using namespace Policy;
using namespace std::chrono_literals;
using Common::MonotonicTime;
using Common::TaskId;
using Scheduler::TaskControl;
using Scheduler::TaskKind;
using Scheduler::TaskReport;

namespace {

/// The bounds that the speeds in these tests refer to, independent of the defaults.
constexpr EvictionPlanner::Settings bounds {
    .pressurePerMille = 700, .recoveredPerMille = 850, .samplesToAct = 2, .stopBelowPerMille = 450
};

struct Fixture {
    EvictionPlanner planner;
    Scheduler::WorkerReport report { .worker = Common::WorkerId("w") };
    std::map<TaskId, EvictionCandidate> candidates;
    MonotonicTime now { 1h };

    explicit Fixture(EvictionPlanner::Settings settings = bounds)
        : planner(settings)
    {
        report.capacity = { .slots = 8, .milliCores = 16000, .memoryMegabytes = 10000 };
        report.tasks.push_back({ .task = TaskId("p"), .kind = TaskKind::Request, .speedPerMille = 1000 });
    }
    void addBatch(const std::string& id, double harm)
    {
        report.tasks.push_back({ .task = TaskId(id), .declared = { .slots = 1, .milliCores = 1000 } });
        candidates[TaskId(id)]
            = EvictionCandidate { .startedAt = MonotonicTime {}, .minimumRunTime = 5s, .harm = harm };
    }
    TaskReport& task(const std::string& id)
    {
        for (TaskReport& task : report.tasks) {
            if (task.task.value() == id)
                return task;
        }
        throw std::logic_error(id);
    }
    std::optional<EvictionAction> next(int64_t speed)
    {
        now += 1s;
        report.clock.milliseconds += 1000;
        task("p").speedPerMille = speed;
        task("p").sampledAt = report.clock;
        auto action = planner.plan(
            report, [this](const TaskReport& task) { return candidates[task.task]; }, now);
        if (action && action->control == TaskControl::Throttle)
            task(action->task.value()).throttled = true;
        if (action && action->control == TaskControl::Unthrottle)
            task(action->task.value()).throttled = false;
        return action;
    }
    std::optional<EvictionAction> within(int reports, int64_t speed)
    {
        for (int i = 0; i < reports; ++i) {
            if (auto action = next(speed))
                return action;
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE("the most harmful task is throttled first, then the others, then a task is checkpointed and stopped")
{
    Fixture f;
    f.addBatch("mild", 0.1);
    f.addBatch("noisy", 0.8);
    CHECK_FALSE(f.next(400));
    auto action = f.within(5, 400);
    REQUIRE(action);
    CHECK(action->task.value() == "noisy");
    CHECK(action->control == TaskControl::Throttle);
    CHECK_FALSE(f.next(400));
    action = f.within(5, 400);
    REQUIRE(action);
    CHECK(action->task.value() == "mild");
    action = f.within(5, 400);
    REQUIRE(action);
    CHECK(action->control == TaskControl::Checkpoint);
    CHECK(action->task.value() == "noisy");
    CHECK_FALSE(f.next(400));
    f.task("noisy").checkpoint = "c1";
    action = f.next(400);
    REQUIRE(action);
    CHECK(action->control == TaskControl::Stop);
    CHECK(f.planner.stops() == 1);
}

TEST_CASE("one slow sample or a speed between the two bounds causes no action")
{
    Fixture f;
    f.addBatch("noisy", 0.8);
    for (int i = 0; i < 20; ++i)
        CHECK_FALSE(f.next(i % 2 == 0 ? 400 : 800));
}

TEST_CASE("a throttled task is unthrottled after a lasting recovery, later each time pressure returns")
{
    Fixture f;
    f.addBatch("noisy", 0.8);
    std::vector<int> waits;
    for (int round = 0; round < 3; ++round) {
        REQUIRE(f.within(5, 500)->control == TaskControl::Throttle);
        int wait = 1;
        while (!f.next(1000))
            ++wait;
        CHECK_FALSE(f.task("noisy").throttled);
        waits.push_back(wait);
    }
    CHECK(waits[0] >= 10);
    CHECK(waits[1] > waits[0]);
    CHECK(waits[2] > waits[1]);
    CHECK(f.planner.stops() == 0);
}

TEST_CASE("a task isn't stopped after its checkpoint when the worker has recovered meanwhile")
{
    Fixture f;
    f.addBatch("noisy", 0.8);
    REQUIRE(f.within(5, 300)->control == TaskControl::Throttle);
    REQUIRE(f.within(5, 300)->control == TaskControl::Checkpoint);
    f.task("noisy").checkpoint = "c1";
    CHECK_FALSE(f.within(5, 900));
    CHECK(f.planner.stops() == 0);
}

TEST_CASE("full memory stops the evictable task that loses the least work, at a bounded rate")
{
    Fixture f({ .stopsPerMinute = 2, .burst = 1 });
    for (int i = 0; i < 8; ++i)
        f.addBatch("b" + std::to_string(i), 0);
    f.candidates[TaskId("b0")].evictable = false;
    for (int i = 0; i < 30; ++i)
        f.next(1000);
    f.task("b5").checkpoint = "fresh";
    f.next(1000);
    for (TaskReport& task : f.report.tasks)
        task.used.memoryMegabytes = 1200;
    const auto action = f.within(3, 1000);
    REQUIRE(action);
    CHECK(action->task.value() == "b5");
    CHECK(action->control == TaskControl::Stop);
    for (int i = 0; i < 120; ++i)
        f.next(1000);
    CHECK(f.planner.stops() >= 3);
    CHECK(f.planner.stops() <= 5);
}
