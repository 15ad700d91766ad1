// Tests that gangs start with all members, on one rack if they require it, and resume from one checkpoint.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <set>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

/// Workers on two racks; each worker has room for two tasks of two cores.
struct GangFleet : Fleet {
    static Jobs::JobRecord gang(uint64_t number, uint32_t members, int64_t milliCores, bool oneRack)
    {
        Jobs::JobRecord record = job(number, "run:4000", members);
        record.spec.steps[0].gang = true;
        record.spec.steps[0].sameRack = oneRack;
        record.spec.steps[0].resources.milliCores = milliCores;
        return record;
    }
    std::set<std::string> racksOf(uint64_t number, uint32_t members)
    {
        std::set<std::string> racks;
        for (uint32_t index = 0; index < members; ++index) {
            const auto worker = judge.startedOn.find({ jobId(number), 0, 0, index });
            if (worker != judge.startedOn.end())
                racks.insert(workerDirectory.at(worker->second + ":1")->entry().rack.value());
        }
        return racks;
    }
};

} // namespace

TEST_CASE("members of a gang don't wait for a member that was refused")
{
    GangFleet fleet;
    fleet.workers[0]->refusesStarts = true;
    Outcome outcome;
    fleet.submit(*fleet.hosts[0], GangFleet::gang(1, 7, 3000, false), outcome);
    fleet.clock.advance(12s);
    CHECK(fleet.judge.summary().empty());
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Completed);
}

TEST_CASE("a gang that requires one rack starts on one rack")
{
    GangFleet fleet;
    Outcome first;
    Jobs::JobRecord filler = CellWorld::service(1, 6);
    filler.spec.steps[0].resources.milliCores = 2000;
    filler.spec.steps[0].preferredRack = Common::RackId("r0-yard");
    fleet.submit(*fleet.hosts[0], filler, first);
    fleet.clock.advance(1s);
    REQUIRE(fleet.running() == 6);
    Outcome outcome;
    fleet.submit(*fleet.hosts[0], GangFleet::gang(2, 4, 2000, true), outcome);
    fleet.clock.advance(1s);
    CHECK(fleet.racksOf(2, 4) == std::set<std::string> { "r1-yard" });
    fleet.clock.advance(5s);
    CHECK(fleet.phase(*fleet.hosts[0], 2) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("all members of a gang resume from the last checkpoint that any member reported")
{
    Cells::LiveJob job(GangFleet::gang(1, 3, 1000, false), false, Common::MonotonicTime {}, 0);
    job.openDueOccurrences(Common::MonotonicTime {}, 0);
    job.updateCheckpoint({ job.id(), 0, 0, 1 }, "first");
    job.updateCheckpoint({ job.id(), 0, 0, 2 }, "second");
    for (uint32_t index = 0; index < 3; ++index)
        CHECK(job.find({ job.id(), 0, 0, index })->progress.checkpoint == "second");
}
