// Tests of workers that crash and start again under their id: what is known of their former life doesn't count any
// more.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// A cell with one host.
struct SmallCell : CellWorld {
    Outcome outcome;
    uint64_t jobs = 0;

    SmallCell(uint64_t seed, size_t workers)
        : CellWorld(seed)
    {
        addWorkers("yard", workers, 8000);
        addHost("yard", "a:1");
        clock.advance(8s);
    }
    void submitJob(const std::string& payload, uint32_t tasks)
    {
        submit(*hosts.front(), job(++jobs, payload, tasks), outcome);
    }
    /// Submits the job again, as callers do, until it is accepted.
    void submitUntilAccepted(const std::string& payload, uint32_t tasks)
    {
        submitJob(payload, tasks);
        const Common::MonotonicTime end = clock.now() + 10s;
        while (clock.now() < end && !(outcome && *outcome)) {
            clock.advance(20ms);
            if (outcome && !*outcome) {
                outcome.reset();
                submit(*hosts.front(), job(jobs, payload, tasks), outcome);
            }
        }
        REQUIRE(outcome);
        REQUIRE(outcome->hasValue());
    }
};

} // namespace

// Guards against work that is done twice since a poll acknowledges ends of a worker's present life with the number of
// its former one (issue 35, TWICE).
TEST_CASE("an end that the owner hasn't read isn't acknowledged after the worker was started again under its id")
{
    for (int64_t idle = 0; idle < 6000; idle += 125) {
        for (const Common::Duration down : { 300ms, 1000ms }) {
            CAPTURE(idle);
            CAPTURE(down.count());
            SmallCell world(static_cast<uint64_t>(idle) + 1, 1);
            world.submitJob("run:200", 6);
            world.clock.advance(2s + std::chrono::milliseconds(idle));
            REQUIRE(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
            world.workers[0]->restart(down);
            world.clock.advance(down + 1ms);
            world.outcome.reset();
            world.submitUntilAccepted("run:250", 1);
            world.clock.advance(15s);
            CHECK(world.phase(*world.hosts.front(), 2) == Jobs::JobPhase::Completed);
            CHECK(world.judge.starts == 7);
            CHECK(world.judge.summary() == "");
        }
    }
}

// Guards against a task that runs on two workers since an order to a worker's former life is carried out by its next
// one (issue 35, TWICE).
TEST_CASE("an order that reaches the next life of a worker late starts nothing beside the run that replaced its own")
{
    for (int64_t crashAfter = 500; crashAfter <= 6500; crashAfter += 250) {
        for (const Common::Duration late : { 4000ms, 8000ms, 9500ms }) {
            CAPTURE(crashAfter);
            CAPTURE(late.count());
            SmallCell world(static_cast<uint64_t>(crashAfter), 2);
            for (const auto& worker : world.workers)
                worker->nextStartDelay = late;
            world.submitJob("run:9000", 1);
            world.clock.advance(std::chrono::milliseconds(crashAfter));
            RunWorker& worker = *world.workers[world.workers[0]->running() > 0 ? 0 : 1];
            worker.restart(1s);
            world.clock.advance(30s);
            CHECK(world.phase(*world.hosts.front(), 1) == Jobs::JobPhase::Completed);
            CHECK(world.judge.summary() == "");
        }
    }
}
