// Runs seeded random schedules of complete nodes. LC_SEED=n replays one schedule and prints its trace; LC_SCHEDULES=n
// sets how many run.
#include "Node/NodeSchedule.h"

#include "Ledger/LedgerSeeds.h"

#include <doctest/doctest.h>

#include <iostream>

using NodeTests::NodeSchedule;

namespace {

/// These take about a minute of processor time.
constexpr uint64_t defaultSchedules = 300;

void print(const std::vector<std::string>& lines)
{
    for (const std::string& line : lines)
        std::cout << line << "\n";
}

} // namespace

TEST_CASE("complete nodes keep their guarantees under random schedules of work and faults")
{
    size_t starts = 0;
    size_t answers = 0;
    size_t jobs = 0;
    const bool replay = LedgerTests::environmentNumber("LC_SEED", 0) != 0;
    LedgerTests::forEachSeed(defaultSchedules, [&](uint64_t seed) {
        NodeSchedule schedule(seed);
        schedule.run();
        starts += schedule.checker().totalStarts();
        answers += schedule.answered();
        jobs += schedule.jobCount();
        if (replay)
            print(schedule.checker().trace());
        CAPTURE(seed);
        for (const std::string& violation : schedule.checker().violations())
            CHECK_MESSAGE(false, "seed " << seed << ": " << violation);
    });
    MESSAGE("starts " << starts << ", answers " << answers << ", accepted jobs " << jobs);
    // Guards against schedules in which nothing runs.
    CHECK(starts > 0);
    CHECK(answers > 0);
    CHECK(jobs > 0);
}
