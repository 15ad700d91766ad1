// Workers that are lost for good shortly before a task is to be started on them.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Longest time without a run that the users' rule allows a long-running task in calm.
constexpr Common::Duration longestAbsence = 9s;

/// The platform lists a lost worker for some seconds more.
constexpr Common::Duration listedAfterLoss = 6s;

struct LossyFleet : Fleet {
    explicit LossyFleet(uint64_t seed)
        : Fleet(seed)
    {
        Jobs::JobRecord record = service(1, 1);
        record.spec.steps[0].resources.milliCores = 4000;
        submit(other(), std::move(record), m_outcome);
        clock.advance(3s);
    }
    RunWorker& holder()
    {
        return **std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
    }
    void lose(RunWorker& worker)
    {
        worker.outdatedEntry = worker.entry();
        worker.crash();
        clock.schedule(listedAfterLoss, [&worker] {
            worker.outdatedEntry.reset();
            worker.listed = false;
        });
    }

private:
    Outcome m_outcome;
};

} // namespace

// LOST: a task was ordered to an idle worker that was gone already, and was kept for it for half a minute.
TEST_CASE("a long-running task whose worker is lost runs again soon although idle workers are lost, too")
{
    constexpr size_t alsoLost = 3;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        for (Common::Duration later = 3s; later <= 8s; later += 100ms) {
            CAPTURE(seed);
            CAPTURE(later.count());
            LossyFleet fleet(seed);
            REQUIRE(fleet.running() == 1);
            fleet.lose(fleet.holder());
            fleet.clock.advance(later);
            size_t lost = 0;
            for (const auto& worker : fleet.workers) {
                if (worker->up() && worker->running() == 0 && lost < alsoLost) {
                    fleet.lose(*worker);
                    ++lost;
                }
            }
            REQUIRE(lost == alsoLost);
            fleet.clock.advance(longestAbsence);
            CHECK(fleet.running() == 1);
            CHECK(fleet.judge.summary().empty());
        }
    }
}
