// Jobs whose cell services have filled while other cells have room.
#include "Cells/LateHostSchedule.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

using namespace CellTests;

TEST_CASE("no accepted job waits in a full cell while less than half of the fleet's capacity is used")
{
    forEachSeed<LateHostSchedule>({ "yard", "shed", "barn" }, 2, [](LateHostSchedule& schedule) {
        schedule.runWithFaults();
        schedule.clock.advance(60s);
        schedule.noteEndedJobs();
        if (schedule.isHalfFree())
            CHECK(schedule.unfinishedText() == "");
    });
}

TEST_CASE("tasks of full cells that move during faults run once, and their jobs end")
{
    forEachSeed<LateHostSchedule>({ "yard", "shed", "barn" }, 2, [](LateHostSchedule& schedule) {
        // Two thirds of the room; each cell that these fill is full for all jobs.
        schedule.submitService(8);
        schedule.submitService(8);
        schedule.services = { 1, 2 };
        schedule.clock.advance(2s);
        REQUIRE(schedule.running() == 16);
        for (size_t fault = 0; fault < lateHostFaultCount; ++fault) {
            schedule.submitJobs();
            schedule.clock.advance(schedule.randomBetween(0ms, 1500ms));
            schedule.injectSomeFault();
            if (schedule.randomBelow(3) == 0)
                schedule.cancelAt(*schedule.live().front(), 3 + schedule.randomBelow(schedule.jobs - 2));
            schedule.clock.advance(schedule.randomBetween(0ms, 2500ms));
        }
        schedule.endFaults();
        schedule.clock.advance(4200ms);
        CHECK(schedule.cancelledButRunning() == "");
        schedule.clock.advance(60s);
        schedule.noteEndedJobs();
        CHECK(schedule.unfinishedText() == "");
        CHECK(schedule.judge.summary() == "");
        // No records of jobs, parts or transfers stay in the store for good.
        schedule.clock.advance(130s);
        size_t records = 0;
        for (uint64_t number = 3; number <= schedule.jobs; ++number) {
            for (const char* const cell : { "yard-0", "shed-0", "barn-0" })
                records += schedule.store.countWithPrefix(
                    Cells::StoreKeys::job(Cells::CellId(cell), CellWorld::jobId(number)));
        }
        CHECK(records == 0);
    });
}
