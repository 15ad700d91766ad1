// A worker that starts again under its id has forgotten its fencing token, while its former owner is still active.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;

namespace {

/// The owner reaches one worker only, and neither the store nor the other hosts, which reach everything else.
struct IsolatedOwner : Fleet {
    WorldHost* former = nullptr;
    RunWorker* shared = nullptr;

    explicit IsolatedOwner(uint64_t seed)
        : Fleet(seed)
    {
    }
    void isolate()
    {
        former = owner();
        REQUIRE(former);
        const auto busy
            = std::find_if(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() > 0; });
        REQUIRE(busy != workers.end());
        shared = busy->get();
        cutBoth(former->address, Fakes::FakeRecordStore::address);
        for (WorldHost* const host : live()) {
            if (host != former)
                cutBoth(former->address, host->address);
        }
        for (const auto& worker : workers) {
            if (worker.get() != shared)
                cutBoth(former->address, worker->entry().address);
        }
    }
    bool hasSuccessor()
    {
        const auto hosts = live();
        return std::any_of(hosts.begin(), hosts.end(),
            [this](WorldHost* host) { return host != former && !host->cellOwnership.engines().empty(); });
    }
    void cutBoth(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
};

/// The worker restarts `after` the successor has taken the cell over. Some tasks wait for room all the while.
void checkRestart(uint64_t seed, Common::Duration after, Common::Duration down)
{
    CAPTURE(seed);
    CAPTURE(after.count());
    CAPTURE(down.count());
    IsolatedOwner fleet(seed);
    Outcome services;
    Outcome tasks;
    fleet.submit(fleet.other(), CellWorld::service(1, 8), services);
    fleet.clock.advance(1s);
    fleet.submit(fleet.other(), CellWorld::job(2, "run:3000", 60), tasks);
    fleet.clock.advance(1s);
    fleet.isolate();
    for (size_t steps = 0; steps < 2000 && !fleet.hasSuccessor(); ++steps)
        fleet.clock.advance(5ms);
    REQUIRE(fleet.hasSuccessor());
    fleet.clock.advance(after);
    fleet.shared->restart(down);
    fleet.clock.advance(15s);
    CHECK(fleet.judge.twice.summary() == "");
    fleet.network.heal();
    fleet.clock.advance(30s);
    CHECK(fleet.judge.twice.summary() == "");
    CHECK(fleet.phase(fleet.other(), 2) == Jobs::JobPhase::Completed);
}

} // namespace

// Guards against two owners that start the same tasks: the former owner starts those that the restart has ended, or
// that waited for room, on the worker, which doesn't know the successor's token any more.
TEST_CASE("a task runs once if a worker that only its former owner and the successor reach starts again")
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        for (Common::Duration after {}; after < 1600ms; after += 100ms) {
            for (const Common::Duration down : { 20ms, 150ms, 700ms })
                checkRestart(seed, after, down);
        }
    }
}
