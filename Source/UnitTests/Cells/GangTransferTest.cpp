// Gangs that move to another cell.
#include "Cells/CellWorld.h"
#include "Cells/LiveJob.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t gangJob = 3;
constexpr uint32_t members = 4;

/// Three cells of one worker each: "yard-0" is full, "barn-0" has room for half of a gang, and "shed-0" for all of it.
struct GangWorld : CellWorld {
    GangWorld()
        : CellWorld(1)
    {
        addWorkers("yard", 1, 4000);
        addWorkers("barn", 1, 4000);
        addWorkers("shed", 1, 16'000);
        for (const char* const domain : { "yard", "barn", "shed" })
            addHost(domain, std::string(domain) + ":1");
        clock.advance(8s);
        fill("yard-0", service(1, 4));
        fill("barn-0", service(2, 2));
        clock.advance(2s);
        REQUIRE(running() == 6);
    }
    Cells::CellEngine& engine(const std::string& cell)
    {
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const found = host->cellOwnership.engine(Cells::CellId(cell)))
                return *found;
        }
        FAIL("no owner");
        std::abort();
    }
    void fill(const std::string& cell, const Jobs::JobRecord& record)
    {
        judge.submitted[record.id] = record.spec;
        engine(cell).submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// The gang's transfer to "yard-0", sent by a cell that found no room for it.
    Cells::TaskTransfer transferFrom(const std::string& sender)
    {
        Jobs::JobRecord record = job(gangJob, "run:60000", members);
        record.spec.steps[0].gang = true;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        judge.submitted[record.id] = record.spec;
        Cells::LiveJob home(record, false, clock.now(), clock.wallMilliseconds());
        home.openDueOccurrences(clock.now(), clock.wallMilliseconds());
        std::vector<Jobs::TaskName> tasks;
        for (uint32_t index = 0; index < members; ++index)
            tasks.push_back({ record.id, 0, 0, index });
        Cells::TaskTransfer transfer = home.transferTasks(tasks, Cells::CellId("loft-0"), Cells::CellId("yard-0"));
        transfer.from = Cells::CellId(sender);
        transfer.part.transfersReceived = { { sender, { transfer.number } } };
        return transfer;
    }
};

} // namespace

TEST_CASE("a gang moves to the only cell with room for all of it, though that cell found none before")
{
    GangWorld world;
    world.engine("yard-0").handlePartMessage(world.transferFrom("shed-0"), [](const Common::Result<Common::Done>&) {});
    world.clock.advance(20s);
    CHECK(world.judge.running(CellWorld::jobId(gangJob)) == members);
    CHECK(world.judge.summary() == "");
}
