// An acknowledgement that was left unanswered and that a worker's next life carries out, beside a start order: the next
// life forgets the end of a run that nobody knows of.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr Common::Duration startDelay = 3s;
constexpr Common::Duration acknowledgementDelay = 6s;
/// When the only worker's first run ends, after its order.
constexpr Common::Duration firstRun = 1s;

/// A second job is submitted `after` the first one, whose end is acknowledged late, and its order is carried out late.
/// Returns the breaches of the rule.
std::string breaches(Common::Duration after)
{
    CellWorld world(static_cast<uint64_t>(after.count()));
    Outcome first;
    Outcome second;
    world.addWorkers("yard", 1, 8000);
    world.addHost("yard", "a:1");
    world.clock.advance(30s);
    RunWorker& worker = *world.workers.front();
    world.submit(*world.hosts.front(), CellWorld::job(1, "run:1000", 1), first);
    worker.nextAcknowledgementDelay = acknowledgementDelay;
    world.clock.advance(after);
    worker.nextStartDelay = startDelay;
    world.submit(*world.hosts.front(), CellWorld::job(2, "run:1000", 1), second);
    world.clock.advance(firstRun + 500ms - after);
    world.network.cut("a:1", worker.entry().address);
    world.network.cut(worker.entry().address, "a:1");
    worker.restart(100ms);
    world.clock.advance(12s);
    world.network.heal();
    world.clock.advance(20s);
    return world.judge.twice.summary();
}

} // namespace

// Guards against a start after an end that a late acknowledgement has made the next life forget (issue 55, TWICE).
TEST_CASE("no end is acknowledged while a start order to the worker is under way")
{
    for (Common::Duration after = firstRun; after <= firstRun + 160ms; after += 10ms) {
        CAPTURE(after.count());
        CHECK(breaches(after) == "");
    }
}

// Guards against the same in the other order (issue 55, TWICE).
TEST_CASE("no start order is sent while an acknowledgement to the worker is under way")
{
    for (Common::Duration after = firstRun + 170ms; after <= firstRun + 400ms; after += 10ms) {
        CAPTURE(after.count());
        CHECK(breaches(after) == "");
    }
}
