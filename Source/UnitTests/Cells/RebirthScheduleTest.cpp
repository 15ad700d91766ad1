// Calls to a worker's former life that its next life, which no host reaches, carries out: no task runs twice in the
// words of rule TWICE.
#include "Cells/RebirthSchedule.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr size_t rebirthCount = 3;
constexpr size_t cells = 3;

void checkTwice(RebirthSchedule& schedule)
{
    for (size_t rebirth = 0; rebirth < rebirthCount; ++rebirth) {
        schedule.submitWork();
        schedule.clock.advance(schedule.randomMilliseconds(0, 2'000));
        schedule.rebirthAndCut();
    }
    schedule.clock.advance(4s);
    schedule.endFaults();
    schedule.clock.advance(45s);
    // All hosts are in touch now.
    schedule.notePhases();
    schedule.clock.advance(2s);
    CHECK(schedule.judge.twice.summary() == "");
    CHECK(schedule.partialServices() == "");
    CHECK(schedule.unfinishedJobs() == "");
}

} // namespace

// Guards against runs and ends on a worker's next life that owners don't count with (issue 49, TWICE).
TEST_CASE("no task runs twice although calls to a worker's former life are carried out by the next one behind a cut")
{
    const SeedRange seeds = SeedRange::fromEnvironment();
    if (seeds.chosen && std::getenv("LC_LOG"))
        Common::initLog("schedule", "info");
    const std::set<uint64_t> known = seeds.chosen ? std::set<uint64_t> {} : knownFailures(__FILE__);
    RebirthSchedule::Counts counts;
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        if (known.contains(seed)) {
            MESSAGE("seed " << seed << " is a known failure and isn't run");
            continue;
        }
        CAPTURE(seed);
        RebirthSchedule schedule(seed, { "yard" }, cells * RebirthSchedule::workersEachCell);
        if (seeds.chosen && std::getenv("LC_LOG"))
            schedule.traceTime();
        checkTwice(schedule);
        counts += schedule.counts;
    }
    MESSAGE("rebirths with calls under way: "
        << counts.rebirths << "; late calls carried out by a next life: starts " << counts.starts << ", grants "
        << counts.grants << "; while no host reaches it: starts " << counts.unreachedStarts << ", grants "
        << counts.unreachedGrants << "; owners killed meanwhile: " << counts.ownersKilled);
    if (!seeds.chosen) {
        CHECK(counts.rebirths > 0);
        CHECK(counts.starts > 0);
        CHECK(counts.grants > 0);
        CHECK(counts.unreachedStarts > 0);
        CHECK(counts.unreachedGrants > 0);
        CHECK(counts.ownersKilled > 0);
    }
}
