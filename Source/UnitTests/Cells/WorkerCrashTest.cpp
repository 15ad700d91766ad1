// Tests that tasks that crash their workers are given up, and that no other task is.
#include "Cells/Fleet.h"
#include "Cells/RandomSchedule.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

struct CrashFleet : Fleet {
    std::map<uint64_t, Outcome> outcomes;

    void submitAt(WorldHost& host, const Jobs::JobRecord& record)
    {
        submit(host, record, outcomes[std::stoull(record.id.value())]);
    }
    /// Waits until a task has crashed a worker again; false if none does within 30 s.
    bool awaitCrash()
    {
        const uint64_t before = judge.crashes;
        for (size_t step = 0; step < 3000 && judge.crashes == before; ++step)
            clock.advance(10ms);
        return judge.crashes > before;
    }
    /// Waits until the store knows of that many crashes under job 1, or that the job has ended. The task isn't started
    /// again before; false if that takes longer than 4 s.
    bool awaitRecordedCrashes(size_t count)
    {
        for (size_t step = 0; step < 4000; ++step) {
            const std::string key = Cells::StoreKeys::job(Cells::CellId("yard-0"), jobId(1));
            const auto record = Jobs::JobRecord::decode(store.recordsWithPrefix(key).at(key));
            REQUIRE(record);
            if (isFinal(record->phase) || crashesIn(*record) >= count)
                return true;
            clock.advance(1ms);
        }
        return false;
    }
    static size_t crashesIn(const Jobs::JobRecord& record)
    {
        size_t crashes = 0;
        for (const auto& [occurrence, steps] : record.progress) {
            for (const auto& tasks : steps) {
                for (const Jobs::TaskProgress& task : tasks)
                    crashes += task.crashes.size();
            }
        }
        return crashes;
    }
    void setRestartPause(Common::Duration pause)
    {
        for (const auto& worker : workers)
            worker->restartPause = pause;
    }
    void restartOwner()
    {
        for (size_t index = 0; index < hosts.size(); ++index) {
            if (hosts[index].get() == owner()) {
                restart(index);
                return;
            }
        }
    }
    void restartAllHosts()
    {
        for (size_t index = 0, count = hosts.size(); index < count; ++index) {
            if (!hosts[index]->process.isKilled())
                restart(index);
        }
    }
    std::optional<JobPhase> phaseOf(uint64_t number) { return phase(*live().front(), number); }
    /// Submits jobs of one task each, numbered from `first`.
    void submitOrdinary(uint64_t first, size_t count, const std::string& payload)
    {
        for (size_t index = 0; index < count; ++index)
            submitAt(*hosts[0], job(first + index, payload, 1));
    }
    size_t countIn(JobPhase wanted, uint64_t first, size_t count)
    {
        size_t found = 0;
        for (size_t index = 0; index < count; ++index)
            found += phaseOf(first + index) == wanted ? 1 : 0;
        return found;
    }
};

/// Random jobs, services and faults with some jobs among them that crash their workers.
struct CrashSchedule : RandomSchedule {
    const uint64_t seed;
    std::vector<uint64_t> deadly;

    CrashSchedule(uint64_t scheduleSeed, const std::vector<std::string>& domains, size_t workersEach)
        : RandomSchedule(scheduleSeed, domains, workersEach)
        , seed(scheduleSeed)
    {
    }

    void submitDeadlyJob()
    {
        WorldHost* const host = anyHost();
        if (!host)
            return;
        deadly.push_back(++jobs);
        submit(*host, job(jobs, "crash:" + std::to_string(randomBelow(1500)), 1), outcomes[jobs]);
    }
    void restartWorker()
    {
        workers[randomBelow(workers.size())]->restart(std::chrono::milliseconds(700 + randomBelow(4000)));
    }
    void killOwner()
    {
        for (size_t index = 0; index < hosts.size(); ++index) {
            if (!hosts[index]->process.isKilled() && !hosts[index]->cellOwnership.engines().empty()) {
                restart(index);
                return;
            }
        }
    }
    /// Jobs of the kind whose final phase is another.
    std::string wronglyEnded()
    {
        std::string text;
        for (const auto& [number, outcome] : outcomes) {
            if (!outcome || !outcome->hasValue())
                continue;
            const bool isDeadly = std::find(deadly.begin(), deadly.end(), number) != deadly.end();
            const Jobs::JobSpec& spec = judge.submitted.at(jobId(number));
            const auto found = phase(*live().front(), number);
            const JobPhase wanted = isDeadly ? JobPhase::Failed
                : spec.steps[0].longRunning  ? JobPhase::Running
                                             : JobPhase::Completed;
            if (found != wanted)
                text += std::string(isDeadly ? "deadly" : "ordinary") + " job " + std::to_string(number) + " is "
                    + std::string(found ? Jobs::phaseName(*found) : "unknown") + "; ";
        }
        return text;
    }
};

} // namespace

TEST_CASE("a task that crashes each worker is given up before its third start after three crashes")
{
    for (const int span : { 0, 60, 900, 2500, 5000 }) {
        for (const auto pause : { 700ms, 3000ms, 8000ms }) {
            CAPTURE(span);
            CAPTURE(pause.count());
            CrashFleet fleet;
            fleet.setRestartPause(pause);
            fleet.submitAt(*fleet.hosts[0], CellWorld::job(1, "crash:" + std::to_string(span), 1));
            fleet.clock.advance(110s);
            CHECK(fleet.judge.summary() == "");
            CHECK(fleet.phaseOf(1) == JobPhase::Failed);
        }
    }
}

TEST_CASE("crashes under a task are remembered by the next owner of its cell")
{
    CrashFleet fleet;
    fleet.submitAt(*fleet.hosts[0], CellWorld::job(1, "crash:200", 1));
    for (size_t crash = 1; crash <= 8 && fleet.awaitCrash(); ++crash) {
        REQUIRE(fleet.awaitRecordedCrashes(crash));
        fleet.restartOwner();
    }
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.phaseOf(1) == JobPhase::Failed);
}

TEST_CASE("crashes under a task are remembered when all hosts are killed")
{
    CrashFleet fleet;
    fleet.submitAt(*fleet.hosts[0], CellWorld::job(1, "crash:200", 1));
    for (size_t crash = 1; crash <= 8 && fleet.awaitCrash(); ++crash) {
        REQUIRE(fleet.awaitRecordedCrashes(crash));
        fleet.restartAllHosts();
    }
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.phaseOf(1) == JobPhase::Failed);
}

TEST_CASE("a crash that is lost with the owner of the cell doesn't exceed the limit of starts")
{
    for (const size_t lostCrash : { 0, 1, 2, 3 }) {
        CAPTURE(lostCrash);
        CrashFleet fleet;
        fleet.submitAt(*fleet.hosts[0], CellWorld::job(1, "crash:200", 1));
        for (size_t crash = 0; crash < 8 && fleet.awaitCrash(); ++crash) {
            if (crash == lostCrash)
                fleet.restartOwner();
        }
        CHECK(fleet.judge.summary() == "");
        CHECK(fleet.phaseOf(1) == JobPhase::Failed);
    }
}

TEST_CASE("jobs beside tasks that crash their workers complete")
{
    for (const int span : { 0, 300, 1500 }) {
        CAPTURE(span);
        CrashFleet fleet;
        fleet.submitOrdinary(10, 40, "run:2500");
        for (uint64_t number = 1; number <= 3; ++number)
            fleet.submitAt(*fleet.hosts[0], CellWorld::job(number, "crash:" + std::to_string(span), 1));
        fleet.clock.advance(5s);
        fleet.submitOrdinary(50, 20, "run:1500");
        fleet.clock.advance(75s);
        CHECK(fleet.judge.summary() == "");
        CHECK(fleet.countIn(JobPhase::Failed, 1, 3) == 3);
        CHECK(fleet.countIn(JobPhase::Completed, 10, 60) == 60);
    }
}

TEST_CASE("services beside tasks that crash their workers aren't given up")
{
    CrashFleet fleet;
    fleet.submitAt(*fleet.hosts[0], CellWorld::service(10, 12));
    fleet.clock.advance(10s);
    for (uint64_t number = 1; number <= 4; ++number)
        fleet.submitAt(*fleet.hosts[0], CellWorld::job(number, "crash:400", 1));
    fleet.clock.advance(80s);
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.countIn(JobPhase::Failed, 1, 4) == 4);
    CHECK(fleet.phaseOf(10) == JobPhase::Running);
    CHECK(fleet.judge.running(CellWorld::jobId(10)) == 12);
}

TEST_CASE("a rack that crashes three times doesn't have its tasks given up")
{
    CrashFleet fleet;
    fleet.submitAt(*fleet.hosts[0], CellWorld::service(1, 8));
    fleet.submitOrdinary(10, 20, "run:12000");
    for (size_t crash = 0; crash < 3; ++crash) {
        fleet.clock.advance(4s);
        for (const auto& worker : fleet.workers) {
            if (worker->entry().rack == Common::RackId("r0-yard"))
                worker->restart(3s);
        }
        fleet.clock.advance(6s);
    }
    fleet.clock.advance(60s);
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.phaseOf(1) == JobPhase::Running);
    CHECK(fleet.countIn(JobPhase::Completed, 10, 20) == 20);
}

TEST_CASE("a worker that crashes by itself again and again doesn't have its tasks given up")
{
    CrashFleet fleet;
    fleet.submitAt(*fleet.hosts[0], CellWorld::service(1, 6));
    fleet.submitOrdinary(10, 30, "run:4000");
    for (size_t crash = 0; crash < 15; ++crash) {
        fleet.clock.advance(3s);
        fleet.workers[0]->restart();
    }
    fleet.clock.advance(40s);
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.phaseOf(1) == JobPhase::Running);
    CHECK(fleet.countIn(JobPhase::Completed, 10, 30) == 30);
}

TEST_CASE("a gang that crashes its workers is given up, and jobs beside it complete")
{
    CrashFleet fleet;
    Jobs::JobRecord gang = CellWorld::job(1, "crash:300", 3);
    gang.spec.steps[0].gang = true;
    fleet.submitAt(*fleet.hosts[0], gang);
    fleet.submitOrdinary(10, 12, "run:3000");
    fleet.clock.advance(100s);
    CHECK(fleet.judge.summary() == "");
    CHECK(fleet.phaseOf(1) == JobPhase::Failed);
    CHECK(fleet.countIn(JobPhase::Completed, 10, 12) == 12);
}

TEST_CASE("a suspect that may share a quarantined worker doesn't wait for a job like it that may not")
{
    CellWorld world(1);
    world.addWorkers("yard", 2, 4000);
    world.addHost("yard", "a:1");
    world.clock.advance(8s);
    std::map<uint64_t, Outcome> outcomes;
    const auto submit = [&](const Jobs::JobRecord& record) {
        world.submit(*world.hosts[0], record, outcomes[std::stoull(record.id.value())]);
    };
    Jobs::JobRecord filling = CellWorld::service(9, 1);
    filling.spec.steps[0].resources.milliCores = 4000;
    submit(filling);
    world.clock.advance(1s);
    RunWorker& crashing = *world.workers[world.workers[0]->running() == 0 ? 0 : 1];
    submit(CellWorld::job(1, "run:20000", 1));
    submit(CellWorld::job(2, "run:20000", 1));
    world.clock.advance(1s);
    REQUIRE(crashing.running() == 2);
    crashing.setCapacity(1000, RunWorker::CapacitySource::List);
    crashing.restart();
    const auto running = [&world](uint64_t number) { return world.judge.running(CellWorld::jobId(number)); };
    for (size_t step = 0; step < 500 && running(1) + running(2) == 0; ++step)
        world.clock.advance(10ms);
    REQUIRE(running(1) + running(2) == 1);
    // Ranked before the suspects, which are late.
    Jobs::JobRecord innocent = CellWorld::job(3, "run:20000", 1);
    innocent.policy.targetDuration = 60s;
    submit(innocent);
    crashing.setCapacity(2000, RunWorker::CapacitySource::List);
    world.clock.advance(2500ms);
    CHECK(running(1) + running(2) == 2);
    CHECK(running(3) == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("only jobs that crash their workers are given up among random jobs, crashes and kills of owners")
{
    const std::set<uint64_t> known
        = SeedRange::fromEnvironment().chosen ? std::set<uint64_t> {} : knownFailures(__FILE__);
    forEachSeed<CrashSchedule>({ "yard", "shed" }, 8, [&known](CrashSchedule& schedule) {
        if (known.contains(schedule.seed)) {
            MESSAGE("known failure, not run: seed " << schedule.seed);
            return;
        }
        for (size_t round = 0; round < 8; ++round) {
            for (size_t count = schedule.randomBelow(4) + 1; count > 0; --count) {
                if (WorldHost* const host = schedule.anyHost()) {
                    const uint64_t number = ++schedule.jobs;
                    schedule.submit(*host,
                        CellWorld::job(number, "run:" + std::to_string(200 + schedule.randomBelow(4000)),
                            1 + static_cast<uint32_t>(schedule.randomBelow(4))),
                        schedule.outcomes[number]);
                }
            }
            if (schedule.randomBelow(3) == 0 && schedule.deadly.size() < 4)
                schedule.submitDeadlyJob();
            if (schedule.randomBelow(4) == 0)
                schedule.submitService(1 + static_cast<uint32_t>(schedule.randomBelow(4)));
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(2500)));
            if (schedule.randomBelow(4) == 0)
                schedule.restartWorker();
            if (round == 4)
                schedule.killOwner();
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(2500)));
        }
        schedule.clock.advance(75s);
        CHECK(schedule.judge.summary() == "");
        CHECK(schedule.wronglyEnded() == "");
    });
}
