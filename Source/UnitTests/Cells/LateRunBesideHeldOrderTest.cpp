// The run of a late order that is found on a worker's next life where a later order of the task was expected.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The first order of a task is carried out `late`. The worker starts again and leaves the second one unanswered, then
/// starts once more and is cut off; that life carries the first order out.
struct HeldOrder : CellWorld {
    Outcome outcome;
    RunWorker* worker = nullptr;
    Common::MonotonicTime orderedAt;

    explicit HeldOrder(Common::Duration late)
        : CellWorld(static_cast<uint64_t>(late.count()))
    {
        addWorkers("yard", 2, 8000);
        addHost("yard", "a:1");
        // The clock of a new life stays behind that of the former one for long.
        clock.advance(30s);
        for (const auto& candidate : workers)
            candidate->nextStartDelay = late;
        submit(*hosts.front(), service(1, 1), outcome);
        while (!worker) {
            clock.advance(10ms);
            const auto found = std::find_if(
                workers.begin(), workers.end(), [](const auto& candidate) { return !candidate->nextStartDelay; });
            worker = found == workers.end() ? nullptr : found->get();
        }
        orderedAt = clock.now();
        for (const auto& candidate : workers)
            candidate->nextStartDelay.reset();
        worker->restart(300ms);
        worker->ignoresStarts = true;
        clock.advance(5s);
        worker->ignoresStarts = false;
        cutBoth();
        worker->restart(100ms);
    }
    void cutBoth()
    {
        network.cut(hosts.front()->address, worker->entry().address);
        network.cut(worker->entry().address, hosts.front()->address);
    }
};

} // namespace

// Guards against RebirthScheduleTest 1890: the first report lists the run of the first order, which is stopped, and not
// that of the second one, so that the task starts elsewhere before the stop (issue 55, TWICE).
TEST_CASE("a task doesn't start elsewhere while the run of a late order, found instead of the expected one, is stopped")
{
    // Its lease is the longest one, 10 s. No order is under way any more when the cut ends.
    for (Common::Duration late = 9500ms; late <= 12s; late += 250ms) {
        CAPTURE(late.count());
        HeldOrder world(late);
        world.clock.advance(world.orderedAt + 18s - world.clock.now());
        REQUIRE(world.worker->running() == 1);
        world.network.heal();
        world.clock.advance(10s);
        CHECK(world.judge.twice.summary() == "");
        CHECK(world.running() == 1);
    }
}
