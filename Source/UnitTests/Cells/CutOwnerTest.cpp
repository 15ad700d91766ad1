// An owner that is cut from a worker, the store and the other hosts, while its successor reaches that worker.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;

namespace {

/// The owner loses one worker with runs, the store and the other hosts; the other hosts lose all other workers, where
/// no fencing token stops the owner.
struct CutOwner : Fleet {
    WorldHost* former = nullptr;
    RunWorker* lost = nullptr;

    void cutOff()
    {
        former = owner();
        REQUIRE(former);
        const auto busy
            = std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
        REQUIRE(busy != workers.end());
        lost = busy->get();
        cutBoth(former->address, Fakes::FakeRecordStore::address);
        for (WorldHost* const host : live()) {
            if (host != former)
                cutBoth(former->address, host->address);
            for (const auto& worker : workers) {
                if ((host == former) == (worker.get() == lost))
                    cutBoth(host->address, worker->entry().address);
            }
        }
    }
    void cutBoth(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
};

/// The run lease on the slowest clock, the longest pause before the poll that finds it passed, and 200 ms for the
/// confirmation, the placement and the order.
Common::Duration longestWait()
{
    const Cells::CellSettings settings;
    const double lease = static_cast<double>(settings.runLease.count()) * (1 + Cells::WorkerLease::clockSlack);
    return Common::Duration(static_cast<Common::Duration::rep>(lease)) + settings.longestPollRetryPause + 200ms;
}

} // namespace

// Guards against a second run beside one that the successor has adopted and whose lease it renews.
TEST_CASE("an owner that is cut from a worker starts nothing a second time while a successor renews the worker's lease")
{
    CutOwner fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
    fleet.clock.advance(2s);
    REQUIRE(fleet.running() == 6);
    fleet.cutOff();
    fleet.clock.advance(20s);
    CHECK(fleet.judge.twice.summary() == "");
    fleet.network.heal();
    fleet.clock.advance(20s);
    CHECK(fleet.judge.twice.summary() == "");
    CHECK(fleet.running() == 6);
}

// Guards against a run of a task that has ended done, as the successor has noted.
TEST_CASE("an owner that is cut from a worker starts no task again whose end its successor has acknowledged")
{
    CutOwner fleet;
    Outcome submitted;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:2000", 6), submitted);
    fleet.clock.advance(1s);
    REQUIRE(fleet.running() == 6);
    fleet.cutOff();
    fleet.clock.advance(20s);
    CHECK(fleet.judge.twice.summary() == "");
    fleet.network.heal();
    fleet.clock.advance(20s);
    CHECK(fleet.judge.twice.summary() == "");
    CHECK(fleet.phase(fleet.other(), 1) == Jobs::JobPhase::Completed);
}

// Guards against waiting for the regular confirmation, which is two seconds away at worst, once a lease has passed.
TEST_CASE("the tasks of a worker that falls silent are started again as soon as its lease has passed")
{
    for (Common::Duration offset {}; offset < 2s; offset += 250ms) {
        CAPTURE(offset.count());
        Fleet fleet;
        Outcome submitted;
        fleet.submit(fleet.other(), CellWorld::service(1, 6), submitted);
        fleet.clock.advance(6s + offset);
        REQUIRE(fleet.running() == 6);
        for (const auto& worker : fleet.workers) {
            if (worker->running() > 0) {
                worker->crash();
                break;
            }
        }
        CHECK(longestShortage(fleet, 6, 20s) <= longestWait());
        CHECK(fleet.judge.summary() == "");
        CHECK(fleet.judge.twice.summary() == "");
    }
}
