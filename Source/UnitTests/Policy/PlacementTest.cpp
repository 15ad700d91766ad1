// Placement never commits more than a worker's capacity and uses the usage and interference that it learned.
#include "Policy/Placement.h"

#include <doctest/doctest.h>

#include <map>

using namespace Policy;
using namespace std::chrono_literals;
using Common::MonotonicTime;
using Common::Resources;
using Common::TaskId;
using Common::WorkerId;
using Scheduler::TaskKind;
using Scheduler::TaskReport;
using Scheduler::TaskState;
using Scheduler::WorkerReport;

namespace {

constexpr Resources capacity { .slots = 8, .milliCores = 16000, .memoryMegabytes = 60000, .accelerators = 1 };

struct Fixture {
    InterferenceModel interference;
    WorkerHealth health;
    Placement placement { Placement::Settings { .urgentReservePercent = 0 }, interference, health };
    std::mt19937_64 random { 1 };
    MonotonicTime now { 1h };

    void add(const std::string& worker, std::vector<TaskReport> tasks = {}, bool leaving = false,
        const std::string& boot = "b1")
    {
        WorkerReport report { .worker = WorkerId(worker), .boot = Common::WorkerBootId(boot) };
        report.rack = Common::RackId("rack");
        report.capacity = capacity;
        report.tasks = std::move(tasks);
        placement.upsert(report, leaving, now);
    }
};

PlacementRequest batch(Resources declared) { return PlacementRequest { declared, TaskKind::Batch, WorkClass("jobs") }; }

constexpr Resources small { .slots = 1, .milliCores = 1000, .memoryMegabytes = 1000 };

} // namespace

TEST_CASE("a committed task stays counted until a report shows its end or it is released")
{
    Fixture f;
    f.add("w");
    const TaskId task("t");
    REQUIRE(f.placement.commit(WorkerId("w"), task, batch(small), f.now));
    CHECK(f.placement.commit(WorkerId("w"), task, batch(small), f.now));
    f.add("w");
    CHECK(f.placement.heldBy(WorkerId("w")) == small);
    f.add("w", { TaskReport { .task = task, .declared = small, .used = { .memoryMegabytes = 5000 } } });
    CHECK(f.placement.heldBy(WorkerId("w"))->memoryMegabytes == 5000);
    CHECK(f.placement.freeSlots() == 7);
    f.add("w", { TaskReport { .task = task, .state = TaskState::Finished, .declared = small } });
    CHECK(f.placement.heldBy(WorkerId("w")) == Resources {});
    f.add("w", { TaskReport { .task = TaskId("adopted"), .declared = small } });
    CHECK(f.placement.freeSlots() == 7);
    f.placement.release(TaskId("adopted"));
    CHECK(f.placement.freeSlots() == 8);
}

TEST_CASE("a reboot ends what was committed under the earlier boot")
{
    Fixture f;
    f.add("w");
    REQUIRE(f.placement.commit(WorkerId("w"), TaskId("t"), batch(small), f.now));
    f.add("w", {}, false, "b2");
    CHECK(f.placement.heldBy(WorkerId("w")) == Resources {});
    CHECK(f.placement.freeSlots() == 8);
}

TEST_CASE("leaving, silent and ejected workers get no tasks, and avoided ones only when no other worker fits")
{
    Fixture f;
    f.add("leaving", {}, true);
    f.add("silent");
    f.add("avoided");
    f.health.markSilent(WorkerId("silent"));
    PlacementRequest request = batch(small);
    request.avoid = { WorkerId("avoided") };
    CHECK(f.placement.choose(request, f.now, f.random) == WorkerId("avoided"));
    CHECK(f.placement.totalSlots() == 16);
    f.add("good");
    for (int i = 0; i < 50; ++i)
        CHECK(f.placement.choose(request, f.now, f.random) == WorkerId("good"));
    f.placement.remove(WorkerId("good"));
    f.add("avoided", {}, true);
    CHECK_FALSE(f.placement.choose(request, f.now, f.random));
    CHECK(f.placement.totalSlots() == 8);
}

TEST_CASE("resources that fit no worker are reported as such")
{
    Fixture f;
    f.add("w");
    CHECK(f.placement.fitsAnywhere(capacity));
    CHECK_FALSE(f.placement.fitsAnywhere({ .slots = 1, .memoryMegabytes = 60001 }));
    CHECK_FALSE(f.placement.fitsAnywhere({ .slots = 1, .accelerators = 2 }));
}

TEST_CASE("batch leaves the reserve to urgent work")
{
    InterferenceModel interference;
    WorkerHealth health;
    Placement placement({ .urgentReservePercent = 25 }, interference, health);
    std::mt19937_64 random(1);
    placement.upsert(WorkerReport { .worker = WorkerId("w"), .capacity = capacity }, false, MonotonicTime {});
    PlacementRequest request = batch({ .slots = 1 });
    int placed = 0;
    while (placement.choose(request, MonotonicTime {}, random))
        REQUIRE(placement.commit(WorkerId("w"), TaskId(std::to_string(placed++)), request, MonotonicTime {}));
    CHECK(placed == 6);
    request.priority = Scheduler::Priority::Urgent;
    CHECK(placement.choose(request, MonotonicTime {}, random));
}

TEST_CASE("the observed memory of a class is counted for its next task")
{
    Fixture f;
    f.add("w");
    REQUIRE(f.placement.commit(WorkerId("w"), TaskId("t1"), batch(small), f.now));
    f.add("w",
        { TaskReport {
            .task = TaskId("t1"), .declared = small, .used = { .memoryMegabytes = 25000 }, .sampledAt = { 5 } } });
    CHECK(f.placement.commit(WorkerId("w"), TaskId("t2"), batch(small), f.now));
    CHECK_FALSE(f.placement.commit(WorkerId("w"), TaskId("t3"), batch(small), f.now));
}

TEST_CASE(
    "random operations never commit more than capacity, with the larger of declared and observed use of each task")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Fixture f;
        std::mt19937_64 random(seed);
        // The reference: every task by worker, with what a worker would count for it.
        std::map<std::string, std::map<TaskId, Resources>> reference;
        std::map<TaskId, Resources> declaredOf;
        for (int i = 0; i < 6; ++i) {
            reference["w" + std::to_string(i)] = {};
            f.add("w" + std::to_string(i));
        }
        for (int step = 0; step < 3000; ++step) {
            f.now += 10ms;
            const std::string name = "w" + std::to_string(random() % 6);
            auto& tasks = reference[name];
            switch (random() % 4) {
            case 0: {
                // A report of the tasks that a random part of the commitments has become; use may shrink or grow.
                std::vector<TaskReport> reported;
                for (auto& [task, amount] : tasks) {
                    const int64_t used = static_cast<int64_t>(random() % 3000);
                    amount = largerOf(declaredOf[task], { .memoryMegabytes = used });
                    reported.push_back(
                        { .task = task, .declared = declaredOf[task], .used = { .memoryMegabytes = used } });
                }
                f.add(name, reported);
                break;
            }
            case 1:
                if (!tasks.empty()) {
                    f.placement.release(tasks.begin()->first);
                    tasks.erase(tasks.begin());
                }
                break;
            default: {
                const auto amount = [&](int64_t limit) { return static_cast<int64_t>(random() % limit); };
                const PlacementRequest request = batch({ 1 + amount(2), amount(6000), amount(20000), amount(8) / 7 });
                const auto chosen = f.placement.choose(request, f.now, random);
                const WorkerId target = random() % 3 == 0 || !chosen ? WorkerId(name) : *chosen;
                const TaskId task("t" + std::to_string(step));
                if (!f.placement.commit(target, task, request, f.now)) {
                    REQUIRE((!chosen || target != *chosen));
                    break;
                }
                declaredOf[task] = request.declared;
                reference[target.value()][task] = request.declared;
                Resources sum;
                for (const auto& [id, held] : reference[target.value()])
                    sum += held;
                REQUIRE(fits(sum, capacity));
            }
            }
            int64_t used = 0;
            for (const auto& [worker, held] : reference) {
                for (const auto& [id, resources] : held)
                    used += resources.slots;
            }
            REQUIRE(f.placement.totalSlots() - f.placement.freeSlots() == used);
        }
    }
}

TEST_CASE("a request goes to the worker whose tasks are known to disturb it least")
{
    Fixture f;
    const auto beside = [&](const std::string& worker, const std::string& neighbour, int64_t speed) {
        for (int64_t second = 1; second < 40; ++second) {
            const TaskId request("p-" + worker);
            f.add(worker,
                { TaskReport {
                      .task = request, .kind = TaskKind::Request, .speedPerMille = speed, .sampledAt = { second } },
                    TaskReport { .task = TaskId(neighbour) } });
            f.placement.classify(request, WorkClass("preview"));
            f.placement.classify(TaskId(neighbour), WorkClass(neighbour));
        }
    };
    beside("w0", "noisy", 400);
    beside("w1", "calm", 1000);
    // The quiet worker is the fuller one.
    REQUIRE(f.placement.commit(WorkerId("w1"), TaskId("t"), batch(small), f.now));
    const PlacementRequest preview { small, TaskKind::Request, WorkClass("preview") };
    int quiet = 0;
    for (int i = 0; i < 200; ++i)
        quiet += f.placement.choose(preview, f.now, f.random) == WorkerId("w1");
    CHECK(quiet > 150);
}

TEST_CASE("run times of short requests show which class slows them down, and batch tasks then prefer noisy workers")
{
    Fixture f;
    f.add("w0");
    f.add("w1");
    const auto jobOf = [](const std::string& workClass) {
        return PlacementRequest { small, TaskKind::Batch, WorkClass(workClass) };
    };
    REQUIRE(f.placement.commit(WorkerId("w0"), TaskId("noisy"), jobOf("noisy"), f.now));
    REQUIRE(f.placement.commit(WorkerId("w1"), TaskId("calm"), jobOf("calm"), f.now));
    const PlacementRequest preview { small, TaskKind::Request, WorkClass("preview") };
    for (int i = 0; i < 2000; ++i) {
        f.placement.choose(preview, f.now, f.random);
        const bool beside = i % 2 == 0;
        const TaskId task("p" + std::to_string(i));
        REQUIRE(f.placement.commit(WorkerId(beside ? "w0" : "w1"), task, preview, f.now));
        f.placement.finish(task, beside ? 200ms : 100ms, f.now);
    }
    CHECK(f.placement.freeSlots() == 14);
    const auto preview0 = f.interference.indexOf(WorkClass("preview"));
    const auto noisy = f.interference.indexOf(WorkClass("noisy"));
    const auto calm = f.interference.indexOf(WorkClass("calm"));
    CHECK(f.interference.slowdown(preview0, noisy, f.now) - f.interference.slowdown(preview0, calm, f.now) > 0.5);
    CHECK_FALSE(f.placement.requestSpeed(WorkerId("w0")));
    f.add("w0");
    f.add("w1");
    REQUIRE(f.placement.requestSpeed(WorkerId("w0")));
    CHECK(*f.placement.requestSpeed(WorkerId("w0")) * 3 < *f.placement.requestSpeed(WorkerId("w1")) * 2);
    REQUIRE(f.placement.commit(WorkerId("w0"), TaskId("victim"), preview, f.now));
    CHECK(f.placement.harmOf(TaskId("noisy"), f.now) > 0.4);
    f.placement.release(TaskId("victim"));
    f.now += 2s;
    for (int i = 0; i < 20; ++i)
        CHECK(f.placement.choose(jobOf("other"), f.now, f.random) == WorkerId("w0"));
}
