// Services that are spread over the workers of several cells, during random faults.
#include "Cells/LateHostSchedule.h"

#include <doctest/doctest.h>

using namespace CellTests;

namespace {

constexpr size_t faultCount = 10;
constexpr uint32_t mostTasksEach = 6;
/// With at most so many tasks, a worker without a task of a given step has room for one.
constexpr uint32_t mostTasks = 15;

void checkServices(LateHostSchedule& schedule)
{
    for (size_t fault = 0; fault < faultCount; ++fault) {
        uint32_t serving = 0;
        for (const uint64_t number : schedule.services)
            serving += schedule.tasksOf(number);
        const auto tasks = static_cast<uint32_t>(1 + schedule.randomBelow(mostTasksEach));
        WorldHost* const host = schedule.anyHost();
        if (host && serving + tasks <= mostTasks) {
            const uint64_t number = ++schedule.jobs;
            Jobs::JobRecord record = CellWorld::service(number, tasks);
            record.spec.steps[0].maximumPerWorker = 1;
            schedule.submit(*host, record, schedule.outcomes[number]);
            schedule.services.insert(number);
        } else {
            schedule.submitJobs();
        }
        schedule.clock.advance(schedule.randomBetween(0ms, 1500ms));
        schedule.injectSomeFault();
        if (schedule.randomBelow(3) == 0)
            schedule.killWorkerBeforeOutage();
        schedule.clock.advance(schedule.randomBetween(0ms, 2500ms));
    }
    schedule.clock.advance(12s);
    schedule.endFaults();
    for (const auto& worker : schedule.workers) {
        if (!worker->up())
            worker->restart();
    }
    schedule.clock.advance(60s);
    CHECK(schedule.partialServices() == "");
    schedule.noteEndedJobs();
    CHECK(schedule.unfinishedText() == "");
    CHECK(schedule.judge.summary() == "");
}

} // namespace

TEST_CASE("all tasks of services that are spread over workers run after random faults")
{
    const SeedRange seeds = SeedRange::fromEnvironment();
    if (seeds.chosen && std::getenv("LC_LOG"))
        Common::initLog("schedule", "info");
    const std::set<uint64_t> known = seeds.chosen ? std::set<uint64_t> {} : knownFailures(__FILE__);
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        if (known.contains(seed)) {
            MESSAGE("seed " << seed << " is a known failure and isn't run");
            continue;
        }
        CAPTURE(seed);
        LateHostSchedule schedule(seed, { "yard", "shed", "barn" }, 3);
        checkServices(schedule);
    }
}
