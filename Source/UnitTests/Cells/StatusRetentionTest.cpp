// How long the state of a job that has ended is told.
#include "Cells/CellWorld.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

// Guards against a completed job that is unknown to a caller who asked within the retention.
TEST_CASE("the state of a job is told to a caller who asked in time whose call to the owner gets no answer")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        CellWorld world(seed);
        world.addWorkers("yard", 4, 8000);
        WorldHost& owner = world.addHost("yard", "yard:1");
        WorldHost& other = world.addHost("shed", "shed:1");
        world.clock.advance(8s);
        std::optional<Common::Result<Common::Done>> outcome;
        world.submit(owner, CellWorld::job(1, "run:300", 2), outcome);
        std::optional<Common::MonotonicTime> completedAt;
        for (int step = 0; step < 50 && !completedAt; ++step) {
            if (world.phase(other, 1) == Jobs::JobPhase::Completed)
                completedAt = world.clock.now();
        }
        REQUIRE(completedAt);
        const auto retention = std::chrono::milliseconds(owner.cellSettings.statusRetention / 1ms);
        world.clock.advance(*completedAt + retention - world.clock.now() - 500ms);
        world.network.cut(other.address, owner.address);
        std::optional<Common::Result<Jobs::JobPhase>> told;
        other.front.phase(CellWorld::jobId(1), 3s, [&told](const auto& phase) { told = phase; });
        world.clock.advance(4s);
        REQUIRE(told);
        REQUIRE(told->hasValue());
        CHECK(**told == Jobs::JobPhase::Completed);
        // Its record doesn't stay for good.
        world.clock.advance(30s);
        CHECK(world.store.countWithPrefix(Cells::StoreKeys::job(Cells::CellId("yard-0"), CellWorld::jobId(1))) == 0);
    }
}
