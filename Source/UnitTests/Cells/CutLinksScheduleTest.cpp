// Owners that are cut from some of their workers, which others reach, run no task twice in the words of rule TWICE.
#include "Cells/CutLinksSchedule.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr size_t faultCount = 8;

} // namespace

TEST_CASE("no task runs twice, and every accepted job ends, although owners are cut from some of their workers")
{
    uint64_t cuts = 0;
    uint64_t starts = 0;
    forEachSeed<CutLinksSchedule>({ "yard", "shed" }, 6, [&](CutLinksSchedule& schedule) {
        for (size_t fault = 0; fault < faultCount; ++fault) {
            schedule.submitSomeJobs();
            schedule.clock.advance(schedule.randomMilliseconds(0, 1'000));
            schedule.injectSomeFault();
            schedule.clock.advance(schedule.randomMilliseconds(0, 1'500));
        }
        schedule.clock.advance(4s);
        schedule.endFaults();
        schedule.clock.advance(50s);
        // All hosts are in touch now.
        schedule.notePhases();
        schedule.clock.advance(2s);
        CHECK(schedule.judge.twice.summary() == "");
        CHECK(schedule.unfinishedJobs() == "");
        cuts += schedule.cuts;
        starts += schedule.judge.starts;
    });
    if (!SeedRange::fromEnvironment().chosen) {
        CHECK(cuts > 0);
        CHECK(starts > 0);
    }
}
