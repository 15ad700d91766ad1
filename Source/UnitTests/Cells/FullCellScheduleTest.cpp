// Jobs whose cell services have filled while other cells have room.
#include "Cells/LateHostSchedule.h"

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
