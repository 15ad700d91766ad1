// Waiting tasks of a successor that may have been started on a worker that hasn't reported to it.
#include "Cells/LateOwner.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

using namespace CellTests;

namespace {

/// A host takes the cell over from a dead one; a worker without runs can't be reached. The constructor waits until the
/// successor knows all runs.
struct SilentWorker : Fleet {
    RunWorker* silent = nullptr;

    SilentWorker(uint64_t seed, Jobs::JobRecord record, size_t tasks)
        : Fleet(seed)
    {
        submit(other(), std::move(record), m_submitted);
        clock.advance(2s);
        REQUIRE(running() == tasks);
        silent = std::find_if(workers.begin(), workers.end(), [](const auto& worker) {
            return worker->running() == 0;
        })->get();
        owner()->process.kill();
        for (const auto& host : hosts) {
            network.cut(silent->entry().address, host->address);
            network.cut(host->address, silent->entry().address);
        }
        for (size_t steps = 0; steps < 100 && !owner(); ++steps)
            clock.advance(50ms);
        REQUIRE(owner());
        clock.advance(500ms);
    }
    RunWorker& busyWorker()
    {
        return **std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
    }

private:
    Outcome m_submitted;
};

/// The owner reads the ends of all runs and starts the next ones, but can't write any of that: it is cut off from the
/// store and from the other hosts, and soon, together with one worker, from the other workers.
struct SeparatedWorker : Fleet {
    explicit SeparatedWorker(uint64_t seed, Jobs::JobRecord record)
        : Fleet(seed)
    {
        submit(other(), std::move(record), m_submitted);
        for (size_t steps = 0; steps < 100 && running() < 8; ++steps)
            clock.advance(10ms);
        REQUIRE(running() == 8);
        // The runs end 6 s after their start.
        clock.advance(6s - 100ms * static_cast<int64_t>(seed % 12 + 1));
        WorldHost* const first = owner();
        disconnect(first->address, Fakes::FakeRecordStore::address);
        for (const auto& host : hosts) {
            if (host.get() != first)
                disconnect(first->address, host->address);
        }
        // So the separated worker holds no end that the successor doesn't read.
        for (const auto& worker : workers)
            worker->refusesStarts = worker->running() > 0;
        const uint64_t starts = judge.starts;
        for (size_t steps = 0; steps < 200 && judge.starts < starts + 8; ++steps)
            clock.advance(10ms);
        REQUIRE(judge.starts == starts + 8);
        const auto held
            = std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
        for (const auto& worker : workers) {
            worker->refusesStarts = false;
            if (worker != *held)
                disconnect(first->address, worker->entry().address);
        }
        for (const auto& host : hosts) {
            if (host.get() != first)
                disconnect((*held)->entry().address, host->address);
        }
    }

private:
    void disconnect(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }

    Outcome m_submitted;
};

} // namespace

// Guards against a successor that holds back every task while one worker is silent.
TEST_CASE("a long-running task that a successor has seen running starts again although another worker is silent")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        SUBCASE("its worker crashes")
        {
            SilentWorker world(seed, CellWorld::service(1, 6), 6);
            world.busyWorker().restart();
            // A poll and its timeout, the worker's restart and the list of workers.
            CHECK(longestShortage(world, 6, 7s) <= 4s);
            CHECK(world.judge.summary() == "");
        }
        SUBCASE("its worker leaves")
        {
            SilentWorker world(seed, CellWorld::service(1, 6), 6);
            RunWorker& leaving = world.busyWorker();
            leaving.drain();
            world.clock.advance(4s);
            CHECK(leaving.running() == 0);
            CHECK(world.running() == 6);
            CHECK(world.judge.summary() == "");
        }
        SUBCASE("it fails")
        {
            Jobs::JobRecord record = CellWorld::service(1, 6);
            record.spec.payload = "fail:7000";
            SilentWorker world(seed, record, 6);
            CHECK(longestShortage(world, 6, 6s) <= 1s);
            CHECK(world.judge.starts >= 12);
            CHECK(world.judge.summary() == "");
        }
    }
}

// Guards against a successor that holds back steps that no earlier owner can have started.
TEST_CASE("a step starts although a worker is silent if the successor has seen the step before it running")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        SilentWorker world(seed, CellWorld::job(1, "run:6000", 4, 3), 4);
        CHECK(longestShortage(world, 4, 5s) <= 1s);
        CHECK(world.judge.starts == 8);
        CHECK(world.judge.summary() == "");
    }
}

// Guards against a successor that takes an end for a proof that the former owner hasn't started the task again.
TEST_CASE("a task that a cut-off owner starts again on the worker that it can reach isn't started by its successor")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Jobs::JobRecord record = CellWorld::service(1, 8);
        record.spec.payload = "fail:6000";
        SeparatedWorker world(seed, record);
        world.clock.advance(25s);
        CHECK(world.judge.summary() == "");
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 8);
    }
}

// Guards against a successor that takes an end for a proof that the former owner hasn't started the next step.
TEST_CASE("a step that a cut-off owner starts on the worker that it can reach isn't started by its successor")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeparatedWorker world(seed, CellWorld::job(1, "run:6000", 8, 3));
        world.clock.advance(40s);
        // By the rule's words: ends that the separated worker holds don't count once its lease has lapsed.
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.phase(world.other(), 1) == Jobs::JobPhase::Completed);
    }
}

// Guards against a successor that gives a task away that is on the worker that the former owner can reach.
TEST_CASE("a successor gives tasks of a crashed worker to another cell, and none that may be on a silent worker")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CellWorld world(seed);
        world.addWorkers("yard", 2, 4000);
        world.addWorkers("shed", 2, 4000);
        for (const char* const name : { "yard:1", "shed:1", "shed:2" })
            world.addHost(std::string(name).substr(0, 4), name);
        world.clock.advance(8s);
        const Cells::CellId home("yard-0");
        WorldHost& first = *world.hosts[0];
        REQUIRE(first.cellOwnership.engine(home));
        const Jobs::JobRecord record = CellWorld::service(1, 8);
        world.judge.submitted[record.id] = record.spec;
        first.cellOwnership.engine(home)->submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
        world.clock.advance(2s);
        // The silent worker has the step's first task, which is the first to be given away.
        const bool isFirstSilent = world.judge.startedOn[{ record.id, 0, 0, 0 }] == "w0";
        RunWorker& silent = *world.workers[isFirstSilent ? 0 : 1];
        RunWorker& reached = *world.workers[isFirstSilent ? 1 : 0];
        REQUIRE(reached.running() == 4);
        REQUIRE(silent.running() == 4);
        const auto disconnect = [&world](const std::string& a, const std::string& b) {
            world.network.cut(a, b);
            world.network.cut(b, a);
        };
        disconnect(first.address, Fakes::FakeRecordStore::address);
        disconnect(first.address, reached.entry().address);
        for (size_t index = 1; index < world.hosts.size(); ++index) {
            disconnect(first.address, world.hosts[index]->address);
            disconnect(silent.entry().address, world.hosts[index]->address);
        }
        const auto isOwned = [&] {
            return std::any_of(world.hosts.begin() + 1, world.hosts.end(),
                [&](const auto& host) { return host->cellOwnership.engine(home) != nullptr; });
        };
        for (size_t steps = 0; steps < 100 && !isOwned(); ++steps)
            world.clock.advance(50ms);
        REQUIRE(isOwned());
        world.clock.advance(300ms);
        reached.refusesStarts = true;
        reached.restart(100ms);
        size_t given = 0;
        for (size_t steps = 0; steps < 100 && silent.running() == 4; ++steps) {
            world.clock.advance(50ms);
            given = world.workers[2]->running() + world.workers[3]->running();
        }
        CHECK(given == 4);
        reached.refusesStarts = false;
        world.clock.advance(15s);
        CHECK(world.judge.summary() == "");
        CHECK(world.running() == 8);
    }
}

// Guards against a number used by two owners: a later owner would take the second run for the task's first.
TEST_CASE("a task that may have run on a worker that stayed silent is started with a number not used before")
{
    Fleet fleet;
    Outcome submitted;
    Jobs::JobRecord record = CellWorld::service(1, 6);
    record.spec.payload = "fail:12000";
    fleet.submit(fleet.other(), record, submitted);
    fleet.clock.advance(2s);
    const auto silent = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
    const auto runs = static_cast<ptrdiff_t>((*silent)->running());
    fleet.owner()->process.kill();
    (*silent)->crash();
    fleet.clock.advance(30s);
    const std::string key = Cells::StoreKeys::job(Cells::CellId("yard-0"), record.id);
    const auto stored = Jobs::JobRecord::decode(fleet.store.recordsWithPrefix(key).at(key));
    REQUIRE(stored);
    const std::vector<Jobs::TaskProgress>& tasks = stored->progress.at(0).at(0);
    CHECK(std::count_if(tasks.begin(), tasks.end(), [](const Jobs::TaskProgress& task) {
        return !task.failedAttempts.empty() && *task.failedAttempts.begin() > 1;
    }) == runs);
}

namespace {

Cells::LiveJob recoveredJob(Jobs::JobRecord record)
{
    Cells::LiveJob job(std::move(record), true, Common::MonotonicTime {}, 1);
    job.openDueOccurrences(Common::MonotonicTime {}, 1);
    return job;
}

void list(Cells::LiveJob& job, uint32_t step, uint32_t index, uint32_t attempt)
{
    const Jobs::TaskName name { job.id(), 0, step, index };
    const uint32_t lastAttempt = job.find(name)->progress.lastAttempt;
    Cells::TaskRun run;
    run.worker = Common::WorkerId("w1");
    run.attempt = Common::AttemptNumber { attempt };
    job.adoptRun(name, run);
    job.noteListed(name, lastAttempt);
}

bool mayBeElsewhere(Cells::LiveJob& job, uint32_t step, uint32_t index)
{
    return job.find({ job.id(), 0, step, index })->mayBeElsewhere;
}

} // namespace

TEST_CASE("a listed run proves only what earlier owners can't have started")
{
    SUBCASE("its task and the steps that depend on it, directly or not")
    {
        Jobs::JobRecord record = CellWorld::job(1, "last", 2, 4);
        record.spec.steps[3].after = {};
        Cells::LiveJob job = recoveredJob(record);
        list(job, 0, 0, 1);
        CHECK_FALSE(mayBeElsewhere(job, 0, 0));
        CHECK(mayBeElsewhere(job, 0, 1));
        CHECK_FALSE(mayBeElsewhere(job, 1, 1));
        CHECK_FALSE(mayBeElsewhere(job, 2, 0));
        CHECK(mayBeElsewhere(job, 3, 0));
    }
    SUBCASE("not the next step if an earlier run may have ended done")
    {
        Cells::LiveJob job = recoveredJob(CellWorld::job(1, "last", 2, 2));
        list(job, 0, 0, 2);
        CHECK_FALSE(mayBeElsewhere(job, 0, 0));
        CHECK(mayBeElsewhere(job, 1, 0));
    }
    SUBCASE("the next step if all earlier runs have failed")
    {
        Cells::LiveJob job = recoveredJob(CellWorld::job(1, "last", 2, 2));
        job.recordAttempt({ job.id(), 0, 0, 0 }, Common::AttemptNumber { 1 });
        job.markFailed({ job.id(), 0, 0, 0 }, Common::AttemptNumber { 1 });
        list(job, 0, 0, 2);
        CHECK_FALSE(mayBeElsewhere(job, 1, 0));
    }
    SUBCASE("nothing if a later run is known")
    {
        Cells::LiveJob job = recoveredJob(CellWorld::job(1, "last", 2, 2));
        job.recordAttempt({ job.id(), 0, 0, 0 }, Common::AttemptNumber { 2 });
        list(job, 0, 0, 1);
        CHECK(mayBeElsewhere(job, 0, 0));
        CHECK(mayBeElsewhere(job, 1, 0));
    }
    SUBCASE("not a task that comes back from another cell")
    {
        Cells::LiveJob job = recoveredJob(CellWorld::job(1, "last", 2));
        list(job, 0, 0, 1);
        const Jobs::TaskName name { job.id(), 0, 0, 0 };
        job.clearRun(name);
        const Cells::TaskTransfer given = job.transferTasks({ name }, Cells::CellId("yard-0"), Cells::CellId("shed-0"));
        Cells::LiveJob part(given.part, false, Common::MonotonicTime {}, 1);
        job.receiveTransfer(part.transferTasks({ name }, Cells::CellId("shed-0"), Cells::CellId("yard-0")),
            Common::MonotonicTime {}, 1);
        REQUIRE(job.find(name)->waiting());
        CHECK(mayBeElsewhere(job, 0, 0));
    }
    SUBCASE("the step after a gang once all members are listed")
    {
        Jobs::JobRecord record = CellWorld::job(1, "last", 2, 2);
        record.spec.steps[0].gang = true;
        Cells::LiveJob job = recoveredJob(record);
        list(job, 0, 0, 1);
        CHECK(mayBeElsewhere(job, 1, 0));
        list(job, 0, 1, 1);
        CHECK_FALSE(mayBeElsewhere(job, 1, 0));
    }
}
