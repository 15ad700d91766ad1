// Workers whose entry names another rack for a moment, and so another cell of their domain.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// One domain with two cells, each with one rack of four workers.
struct TwoCells : CellWorld {
    explicit TwoCells(uint64_t seed)
        : CellWorld(seed)
    {
        workersPerCell = 4;
        addWorkers("yard", 8, 4000);
        for (const char* const name : { "a:1", "b:1", "c:1" })
            addHost("yard", name);
        clock.advance(8s);
    }
    /// Number of engines, of all hosts, that know the worker.
    size_t holders(const RunWorker& worker)
    {
        size_t count = 0;
        for (WorldHost* const host : live()) {
            for (const auto& [cell, engine] : host->cellOwnership.engines())
                count += engine->knowsWorker(worker.entry().id) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// Guards against a second cell that acknowledges ends of jobs that it doesn't know, and stops their runs.
TEST_CASE("a worker that is listed with another rack for a moment stays in one cell, and its tasks run once")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        TwoCells world(seed);
        std::optional<Common::Result<Common::Done>> first;
        std::optional<Common::Result<Common::Done>> second;
        world.submit(*world.live().front(), CellWorld::job(1, "run:1500", 12, 3), first);
        world.submit(*world.live().front(), CellWorld::job(2, "run:1500", 12, 3), second);
        world.clock.advance(1s);
        RunWorker& moved = *world.workers.front();
        const Common::RackId rack = moved.entry().rack;
        moved.setRack(world.workers.back()->entry().rack);
        world.clock.advance(2s);
        moved.setRack(rack);
        world.clock.advance(40s);
        CHECK(world.holders(moved) == 1);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.phase(*world.live().front(), 1) == Jobs::JobPhase::Completed);
        CHECK(world.phase(*world.live().front(), 2) == Jobs::JobPhase::Completed);
    }
}
