// Test of many cells in which room becomes free at once for tasks of one job that waits in another cell.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// A load of a cell reaches each host in about each fifth round only.
constexpr size_t domains = 44;
constexpr size_t workersEach = 4;
constexpr uint32_t tasksOfWorker = 8;
constexpr int64_t taskMilliCores = 1000;
constexpr uint64_t waitingService = 1;
constexpr uint64_t firstFilling = 100;
constexpr uint64_t firstFreed = 200;
constexpr uint32_t freedEach = 2;
/// With room for two tasks more than wait.
constexpr size_t lostWorkers = 2;
constexpr size_t freedCells = lostWorkers * tasksOfWorker / freedEach + 1;
/// See FreedRoomTest.
constexpr Common::Duration longestBesideRoom = 3s;
constexpr Common::Duration lookInterval = 50ms;

std::string domain(size_t number) { return "zone" + std::to_string(10 + number); }

struct Cells44 : CellWorld {
    explicit Cells44(uint64_t seed)
        : CellWorld(seed)
    {
        for (size_t number = 0; number < domains; ++number) {
            addWorkers(domain(number), workersEach, tasksOfWorker * taskMilliCores);
            addHost(domain(number), domain(number) + ":1");
        }
        clock.advance(10s);
        submitTo(0, service(waitingService, workersEach * tasksOfWorker));
        for (size_t number = 1; number < domains; ++number) {
            submitTo(number, service(firstFreed + number, freedEach));
            submitTo(number, service(firstFilling + number, workersEach * tasksOfWorker - freedEach));
        }
        clock.advance(2s);
        REQUIRE(running() == domains * workersEach * tasksOfWorker);
        for (size_t number = 0; number < lostWorkers; ++number)
            workers[number]->crash();
        const Cells::CellSettings settings;
        clock.advance(Cells::WorkerLease::onSlowestClock(settings.runLease) + settings.pollWait);
    }
    Cells::CellEngine* engine(size_t number)
    {
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const found = host->cellOwnership.engine(Cells::CellId(domain(number) + "-0")))
                return found;
        }
        return nullptr;
    }
    void submitTo(size_t number, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        Cells::CellEngine* const owner = engine(number);
        REQUIRE(owner);
        owner->submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    void free(size_t number)
    {
        engine(number)->cancel(jobId(firstFreed + number), [](const Common::Result<Common::Done>&) {});
    }
    size_t waiting() const { return workersEach * tasksOfWorker - judge.running(jobId(waitingService)); }
};

} // namespace

// Guards against LOST (issue 58): a cell whose offer was declined during a transfer didn't call for the tasks again.
TEST_CASE("tasks that wait in one cell soon run in all cells in which room becomes free at once")
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        Cells44 world(seed);
        REQUIRE(world.waiting() == lostWorkers * tasksOfWorker);
        world.clock.advance(12s);
        std::mt19937_64 random(seed);
        std::set<size_t> freed;
        while (freed.size() < freedCells)
            freed.insert(1 + random() % (domains - 1));
        for (const size_t number : freed)
            world.free(number);
        const Common::MonotonicTime since = world.clock.now();
        std::string course;
        size_t last = world.waiting();
        while (world.waiting() > 0 && world.clock.now() - since < 20s) {
            world.clock.advance(lookInterval);
            if (world.waiting() != last)
                course += std::to_string((world.clock.now() - since) / 1ms) + ":"
                    + std::to_string(last = world.waiting()) + " ";
        }
        CAPTURE(course);
        CHECK(world.clock.now() - since < longestBesideRoom);
        CHECK(world.judge.summary() == "");
    }
}
