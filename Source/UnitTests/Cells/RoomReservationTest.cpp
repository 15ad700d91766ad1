// Tests of what a reservation of room keeps off its worker, how many there are, and when they end.
#include "Cells/CellWorker.h"
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t largeJob = 1;
constexpr uint64_t firstFiller = 100;
constexpr uint64_t firstSmallJob = 200;

/// One cell whose workers have four cores each.
struct ReservingCell : CellWorld {
    ReservingCell()
        : CellWorld(5)
    {
    }
    void begin()
    {
        for (const char* const name : { "a:1", "b:1" })
            addHost("yard", name);
        clock.advance(8s);
    }
    void submitToOwner(Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engines().empty())
                continue;
            host->cellOwnership.engines().begin()->second->submit(
                record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
            return;
        }
        FAIL("no owner");
    }
    static Jobs::JobRecord sized(Jobs::JobRecord record, int64_t milliCores)
    {
        record.spec.steps[0].resources.milliCores = milliCores;
        return record;
    }
    void run(uint64_t number, uint32_t tasks, int64_t milliCores, std::chrono::milliseconds duration,
        const std::string& label = {}, uint32_t maximumPerWorker = 0)
    {
        Jobs::JobRecord record = sized(job(number, "run:" + std::to_string(duration.count()), tasks), milliCores);
        record.spec.steps[0].estimate = duration;
        record.spec.steps[0].requiredLabel = label;
        record.spec.steps[0].maximumPerWorker = maximumPerWorker;
        submitToOwner(record);
        clock.advance(100ms);
    }
    void serveLarge(uint64_t number = largeJob, int64_t milliCores = 3000)
    {
        submitToOwner(sized(service(number, 1), milliCores));
    }
    size_t runningOf(uint64_t number) const { return judge.running(jobId(number)); }
};

/// One worker, half of which becomes free after three seconds and half after six. Three cores are reserved.
struct OneWorker : ReservingCell {
    OneWorker()
    {
        addWorkers("yard", 1, 4000);
        begin();
        run(firstFiller, 1, 2000, 3s);
        run(firstFiller + 1, 1, 2000, 6s);
        REQUIRE(running() == 2);
        serveLarge();
        clock.advance(2s);
        run(firstSmallJob, 2, 800, 20s);
        REQUIRE(running() == 2);
    }
};

/// Workers that each have half of their cores free after three seconds, and five large tasks that wait.
size_t smallTasksStarted(size_t workers)
{
    ReservingCell world;
    world.addWorkers("yard", workers, 4000);
    world.begin();
    world.run(firstFiller, static_cast<uint32_t>(workers), 2000, 3s, {}, 1);
    world.run(firstFiller + 1, static_cast<uint32_t>(workers), 2000, 20s, {}, 1);
    REQUIRE(world.running() == 2 * workers);
    for (uint64_t number = 0; number < 5; ++number)
        world.serveLarge(largeJob + number);
    world.clock.advance(2s);
    world.run(firstSmallJob, static_cast<uint32_t>(2 * workers), 1900, 20s);
    world.clock.advance(2s);
    CHECK(world.judge.summary() == "");
    return world.runningOf(firstSmallJob);
}

} // namespace

TEST_CASE("room is left beside a reservation, less what long-running and new runs hold")
{
    Cells::WorkerEntry entry;
    entry.capacity = { 0, 8000, 1000, 0 };
    const Cells::CellSettings settings;
    Cells::CellWorker worker(entry, settings);
    const Common::MonotonicTime since { 10s };
    const Jobs::TaskName step { CellWorld::jobId(largeJob), 0, 2, 0 };
    const auto add = [&](uint64_t number, int64_t milliCores, Common::MonotonicTime orderedAt, bool longRunning) {
        Cells::RunAllocation allocation;
        allocation.held.milliCores = milliCores;
        allocation.orderedAt = orderedAt;
        allocation.longRunning = longRunning;
        worker.addAllocation({ { CellWorld::jobId(number), 0, 0, 0 }, Common::AttemptNumber { 1 } }, allocation);
    };
    add(10, 1000, since - 1s, true);
    add(11, 2000, since - 1s, false);
    CHECK(worker.unreservedFree().milliCores == 5000);
    worker.reservation = Cells::CellWorker::Reservation { step, { 0, 5000, 400, 0 }, since };
    CHECK(worker.unreservedFree().milliCores == 2000);
    CHECK(worker.unreservedFree().memoryMegabytes == 600);
    add(12, 1500, since, false);
    CHECK(worker.unreservedFree().milliCores == 500);
    CHECK(worker.freeFor({ CellWorld::jobId(largeJob), 0, 2, 7 }).milliCores == 3500);
    CHECK(worker.freeFor({ CellWorld::jobId(largeJob), 0, 1, 0 }).milliCores == 500);
}

TEST_CASE("tasks that fit beside a reservation start there, others don't")
{
    OneWorker world;
    world.clock.advance(2500ms);
    CHECK(world.runningOf(firstFiller) == 0);
    CHECK(world.runningOf(firstSmallJob) == 1);
    world.clock.advance(2s);
    CHECK(world.runningOf(largeJob) == 1);
    CHECK(world.runningOf(firstSmallJob) == 1);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a reservation ends when its job is cancelled")
{
    OneWorker world;
    CHECK(world.cancel(largeJob));
    world.judge.cancelled.insert(CellWorld::jobId(largeJob));
    world.clock.advance(500ms);
    CHECK(world.runningOf(firstFiller + 1) == 1);
    CHECK(world.runningOf(firstSmallJob) == 2);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("at most an eighth of the workers is reserved, but one at least")
{
    CHECK(smallTasksStarted(4) == 3);
    CHECK(smallTasksStarted(8) == 7);
    CHECK(smallTasksStarted(16) == 14);
}

TEST_CASE("another worker is reserved when the reserved one leaves")
{
    ReservingCell world;
    world.addWorkers("yard", 1, 4000, { "soon" });
    world.addWorkers("yard", 1, 4000, { "later" });
    world.begin();
    world.run(firstFiller, 2, 2000, 6s, "soon");
    world.run(firstFiller + 1, 1, 2000, 9s, "later");
    world.run(firstFiller + 2, 1, 2000, 12s, "later");
    REQUIRE(world.running() == 4);
    world.serveLarge();
    world.clock.advance(2s);
    world.run(firstSmallJob, 4, 1500, 20s);
    world.workers[0]->crash();
    world.clock.advance(12s);
    CHECK(world.runningOf(firstSmallJob) == 0);
    CHECK(world.runningOf(largeJob) == 1);
    CHECK(world.judge.summary() == "");
}
