// Random faults, reproducible by seed, injected into a fleet of hosts: no guarantee may be violated, and every accepted
// job has to end.
#include "Cells/RandomSchedule.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr size_t faultCount = 10;

} // namespace

TEST_CASE("every accepted job ends and no guarantee is violated after random faults")
{
    forEachSeed<RandomSchedule>({ "yard", "shed" }, 6, [](RandomSchedule& schedule) {
        for (size_t fault = 0; fault < faultCount; ++fault) {
            schedule.submitJobs();
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(1500)));
            schedule.injectFault();
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(2500)));
        }
        schedule.clock.advance(4s);
        schedule.clearFaults();
        schedule.clock.advance(60s);
        CHECK(schedule.judge.summary() == "");
        CHECK(schedule.unfinishedJobs() == "");
    });
}

TEST_CASE("services keep running and no guarantee is violated after random faults in full cells")
{
    size_t served = 0;
    forEachSeed<RandomSchedule>({ "yard", "shed", "barn" }, 2, [&served](RandomSchedule& schedule) {
        for (size_t fault = 0; fault < faultCount; ++fault) {
            if (schedule.randomBelow(2) == 0 && schedule.jobs < 8)
                schedule.submitService(2 + static_cast<uint32_t>(schedule.randomBelow(6)));
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(1500)));
            schedule.injectFault();
            if (schedule.randomBelow(3) == 0)
                schedule.workers[schedule.randomBelow(schedule.workers.size())]->restart();
            if (schedule.randomBelow(4) == 0)
                schedule.killWorkerBeforeOutage();
            if (schedule.randomBelow(6) == 0)
                schedule.cancelRandomJob();
            schedule.clock.advance(std::chrono::milliseconds(schedule.randomBelow(2500)));
        }
        schedule.clock.advance(12s);
        schedule.clearFaults();
        schedule.clock.advance(60s);
        CHECK(schedule.judge.summary() == "");
        // While workers were down more tasks may have been accepted than the workers can hold.
        const size_t capacity = schedule.workers.size() * 4;
        CHECK(schedule.running() == std::min(schedule.expectedTasks(), capacity));
        served += schedule.running();
    });
    // A seed may leave no service to run; the whole range must not.
    if (SeedRange::fromEnvironment().chosen)
        MESSAGE("served tasks: " << served);
    else
        CHECK(served > 0);
}
