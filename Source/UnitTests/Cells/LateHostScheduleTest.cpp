// Hosts that run late start nothing twice, take no cells from others, and cancellations hold.
#include "Cells/LateHostSchedule.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;

TEST_CASE("late hosts start nothing twice, and cancellations hold for whole jobs")
{
    size_t acknowledged = 0;
    size_t served = 0;
    forEachSeed<LateHostSchedule>({ "yard", "shed", "barn" }, 2, [&](LateHostSchedule& schedule) {
        schedule.runWithFaults();
        CHECK(schedule.cancelledButRunning() == "");
        // The state of a job can be queried for two minutes after its end.
        schedule.noteEndedJobs();
        schedule.clock.advance(60s);
        CHECK(schedule.cancelledButRunning() == "");
        CHECK(schedule.partialServices() == "");
        acknowledged += schedule.judge.cancelled.size();
        served += schedule.running();
        schedule.cancelServices();
        CHECK(schedule.cancelledButRunning() == "");
        CHECK(schedule.runningOfServices() == 0);
        schedule.clock.advance(20s);
        schedule.noteEndedJobs();
        CHECK(schedule.unfinishedText() == "");
        CHECK(schedule.running() == 0);
        CHECK(schedule.judge.summary() == "");
    });
    // A single seed may have no service or no acknowledged cancellation.
    if (!SeedRange::fromEnvironment().chosen) {
        CHECK(acknowledged > 0);
        CHECK(served > 0);
    }
}

TEST_CASE("late hosts without cells take none from owners that are in time")
{
    size_t late = 0;
    forEachSeed<LateHostSchedule>({ "yard", "shed", "barn" }, 2, [&](LateHostSchedule& schedule) {
        schedule.clock.advance(15s);
        const std::string owners = schedule.ownersText();
        CHECK(std::count(owners.begin(), owners.end(), ';') == 3);
        for (size_t round = 0; round < 4; ++round) {
            for (WorldHost* const host : schedule.live()) {
                host->heartbeats.dropsAll = schedule.randomBelow(2) == 0;
                if (host->cellOwnership.engines().empty() && !host->process.isPaused()) {
                    schedule.stall(*host, schedule.clock.now() + schedule.randomBetween(2s, 8s), 100ms);
                    ++late;
                }
            }
            schedule.submitJobs();
            schedule.clock.advance(schedule.randomBetween(3s, 8s));
        }
        CHECK(schedule.ownersText() == owners);
        schedule.endFaults();
        schedule.clock.advance(20s);
        schedule.noteEndedJobs();
        CHECK(schedule.unfinishedText() == "");
        CHECK(schedule.judge.summary() == "");
    });
    if (!SeedRange::fromEnvironment().chosen)
        CHECK(late > 0);
}

TEST_CASE("an acknowledged cancellation holds in all cells although their owners can't reach each other")
{
    size_t cancelled = 0;
    forEachSeed<LateHostSchedule>({ "yard", "shed", "barn" }, 2, [&](LateHostSchedule& schedule) {
        for (size_t round = 0; round < 6; ++round) {
            schedule.submitRandomService();
            schedule.clock.advance(schedule.randomBetween(1s, 4s));
            schedule.cutRandomLink();
            schedule.clock.advance(schedule.randomBetween(0ms, 1500ms));
            if (!schedule.services.empty())
                schedule.cancelWithDeadline(*schedule.services.rbegin());
            schedule.clock.advance(schedule.randomBetween(1s, 6s));
            schedule.network.heal();
        }
        schedule.clock.advance(10s);
        cancelled += schedule.judge.cancelled.size();
        CHECK(schedule.judge.summary() == "");
    });
    if (!SeedRange::fromEnvironment().chosen)
        CHECK(cancelled > 0);
}
