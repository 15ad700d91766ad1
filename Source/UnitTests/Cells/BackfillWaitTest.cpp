// Backfill that no worker has enough spare processor time for: it starts within a bound wherever its memory is free,
// and is paused while a service beside it is over its target.
#include "Cells/ServedCells.h"

#include <doctest/doctest.h>

using namespace CellTests;

namespace {

constexpr uint64_t jobNumber = 1;
constexpr uint64_t learningJob = 100;
constexpr int64_t halfWorker = ServedCells::workerMilliCores / 2;
/// From the moment at which there is room for it to its first run.
constexpr Common::Duration longestWait = 11s;
/// The platform's bound for a job of which nothing runs, at the end of a day, while most room is free.
constexpr Common::Duration longestWaitAtEnd = 3s;
constexpr Common::Duration longWatch = 60s;

/// Submits a backfill job and checks that it is started within the bound and not given up afterwards.
void checkStarts(ServedCells& world, const Jobs::JobRecord& record)
{
    world.submitTo(world.domains[0], record);
    CHECK(world.waitFor(jobNumber, longWatch) <= longestWait);
    CHECK(world.looksWithoutRun(jobNumber, longWatch) == 0);
    CHECK(world.harmText() == "");
    CHECK(world.judge.summary() == "");
}

void checkStartsAtTail(double tail)
{
    for (const double pressure : { 1.2, 2.5 }) {
        for (const size_t cells : { 1, 3 }) {
            CAPTURE(pressure);
            CAPTURE(cells);
            ServedCells world(1, cells, { { "batch", pressure } });
            world.learn(learningJob, "batch");
            world.setOwnTail(tail);
            world.watch(5s);
            for (const std::string& domain : world.domains)
                REQUIRE(world.learnedPace(domain, "batch", halfWorker) < 0.2);
            checkStarts(world, ServedCells::backfill(jobNumber, "run:5000", "batch", 1, halfWorker));
        }
    }
}

/// Backfill that its services' tails have paused holds all processor time that isn't allocated.
void fillWithPausedBackfill(ServedCells& world)
{
    world.learn(learningJob, "batch");
    for (size_t index = 0; index < world.domains.size(); ++index) {
        Jobs::JobRecord filling = ServedCells::backfill(
            20 + index, "run:600000", "batch", ServedCells::workersEach, ServedCells::workerMilliCores);
        filling.spec.steps[0].maximumPerWorker = 1;
        world.submitTo(world.domains[index], filling);
    }
    world.watch(5s);
    for (const auto& worker : world.workers)
        REQUIRE(worker->running() == 2);
    world.setOwnTail(1.1 * ServedCells::targetMilliseconds);
    world.watch(5s);
    for (const auto& worker : world.workers)
        REQUIRE_FALSE(worker->hasBackfillAtWork());
}

} // namespace

TEST_CASE("backfill starts within the bound although every service beside it is near its target")
{
    checkStartsAtTail(0.9 * ServedCells::targetMilliseconds);
}

TEST_CASE("backfill starts within the bound although every service is over its target without it")
{
    checkStartsAtTail(1.1 * ServedCells::targetMilliseconds);
}

TEST_CASE("backfill starts within the bound although it would be slow beside every service")
{
    for (const double pressure : { 0.9, 1.2, 2.0 }) {
        for (const size_t cells : { 1, 3 }) {
            CAPTURE(pressure);
            CAPTURE(cells);
            ServedCells world(2, cells, { { "batch", pressure } });
            world.learn(learningJob, "batch");
            for (const std::string& domain : world.domains) {
                const double pace = world.learnedPace(domain, "batch", halfWorker);
                REQUIRE(pace > 0.2);
                REQUIRE(pace < 0.7);
            }
            checkStarts(world, ServedCells::backfill(jobNumber, "run:5000", "batch", 1, halfWorker));
            CHECK(world.hasEnded(jobNumber));
        }
    }
}

TEST_CASE("backfill of an unknown image starts within the bound although it would be slow beside every service")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(3, cells, { { "batch", 1.2 } });
        checkStarts(world, ServedCells::backfill(jobNumber, "run:5000", "batch", 1, halfWorker));
        CHECK(world.hasEnded(jobNumber));
    }
}

TEST_CASE("each step of backfill that would be slow beside every service starts within the bound")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(4, cells, { { "batch", 1.2 } });
        world.learn(learningJob, "batch");
        Jobs::JobRecord record = ServedCells::backfill(jobNumber, "run:1000", "batch", 2, halfWorker);
        record.spec.steps.push_back(record.spec.steps[0]);
        record.spec.steps[1].after = { 0 };
        world.submitTo(world.domains[0], record);
        for (const Common::MonotonicTime end = world.clock.now() + 2 * longWatch;
             world.clock.now() < end && !world.hasEnded(jobNumber);) {
            CHECK(world.waitFor(jobNumber, longWatch) <= longestWait);
            world.look();
        }
        CHECK(world.hasEnded(jobNumber));
        CHECK(world.harmText() == "");
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("backfill that disturbs a service strongly is paused while that is over its target")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(5, cells, { { "batch", 4 } });
        checkStarts(world, ServedCells::backfill(jobNumber, "run:5000", "batch", 1, halfWorker));
    }
}

TEST_CASE("backfill is paused when the service beside it gets over its target without it")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(6, cells, { { "batch", 1.2 } });
        world.submitTo(world.domains[0], ServedCells::backfill(jobNumber, "run:600000", "batch", 1, halfWorker / 4));
        world.watch(5s);
        REQUIRE(world.judge.running(CellWorld::jobId(jobNumber)) == 1);
        world.setOwnTail(1.3 * ServedCells::targetMilliseconds);
        CHECK(world.looksWithoutRun(jobNumber, longWatch) == 0);
        CHECK(world.harmText() == "");
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("backfill starts within the bound although paused backfill holds all declared processor time")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(7, cells, {});
        fillWithPausedBackfill(world);
        checkStarts(world, ServedCells::backfill(jobNumber, "run:5000", "batch", 1, halfWorker));
    }
}

// Guards against accepted jobs that stand still although most of the workers' room is free.
TEST_CASE("a job of backfill starts within three seconds while backfill holds only what isn't allocated")
{
    for (const size_t cells : { 1, 3 }) {
        CAPTURE(cells);
        ServedCells world(8, cells, {});
        fillWithPausedBackfill(world);
        world.submitTo(world.domains[0], ServedCells::backfill(jobNumber, "run:5000", "batch", 4, halfWorker));
        CHECK(world.waitFor(jobNumber, longWatch) <= longestWaitAtEnd);
        CHECK(world.looksWithoutRun(jobNumber, longWatch) == 0);
        CHECK(world.harmText() == "");
        CHECK(world.judge.summary() == "");
    }
}
