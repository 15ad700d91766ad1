// A cell that changes its owner twice while an owner before these may still grant leases.
#include "Cells/CellRecord.h"
#include "Cells/Fleet.h"
#include "Cells/StoreKeys.h"
#include "Cells/TokenRange.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The owner of a service and one of the workers that run it are cut off together from everything else; from the store
/// at the moment of the first claim by another host, so that the owner's authority lasts as long as it can.
struct SeparatedOwner : Fleet {
    WorldHost* first = nullptr;
    RunWorker* held = nullptr;

    explicit SeparatedOwner(uint64_t seed)
        : Fleet(seed)
    {
        Outcome submitted;
        submit(other(), service(1, 8), submitted);
        clock.advance(2s);
        REQUIRE(running() == 8);
        first = owner();
        held = std::find_if(workers.begin(), workers.end(), [](const auto& worker) {
            return worker->running() > 0;
        })->get();
        const auto disconnect = [this](const std::string& a, const std::string& b) {
            network.cut(a, b);
            network.cut(b, a);
        };
        for (const auto& worker : workers) {
            if (worker.get() != held)
                disconnect(first->address, worker->entry().address);
        }
        for (const auto& host : hosts) {
            if (host.get() == first)
                continue;
            disconnect(first->address, host->address);
            disconnect(held->entry().address, host->address);
        }
    }
    /// The host that has replaced the separated owner; null when there is none.
    WorldHost* successor()
    {
        for (WorldHost* const host : live()) {
            if (host != first && !host->cellOwnership.engines().empty())
                return host;
        }
        return nullptr;
    }
    std::string record() const { return *store.value(Cells::StoreKeys::cell(Cells::CellId("yard-0"))); }
    void cutFromStore()
    {
        network.cut(first->address, Fakes::FakeRecordStore::address);
        network.cut(Fakes::FakeRecordStore::address, first->address);
    }
    void awaitSuccessor()
    {
        const auto tokenOf = [](const std::string& text) { return Cells::CellRecord::decode(text)->token; };
        const Cells::FencingToken token = tokenOf(record());
        for (size_t steps = 0; steps < 20'000 && tokenOf(record()) == token; ++steps)
            clock.advance(1ms);
        cutFromStore();
        for (size_t steps = 0; steps < 200 && !successor(); ++steps)
            clock.advance(50ms);
        REQUIRE(successor());
    }
};

} // namespace

TEST_CASE("a task runs once if its cell is released again while an earlier owner still grants leases")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeparatedOwner world(seed);
        world.awaitSuccessor();
        world.successor()->cellOwnership.drain([] {});
        world.clock.advance(25s);
        CHECK(world.judge.summary() == "");
        CHECK(world.running() == 8);
    }
}

TEST_CASE("a task runs once if the successor of its owner starts again while that owner still grants leases")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeparatedOwner world(seed);
        world.awaitSuccessor();
        const auto index = std::find_if(world.hosts.begin(), world.hosts.end(), [&](const auto& host) {
            return host.get() == world.successor();
        }) - world.hosts.begin();
        world.restart(static_cast<size_t>(index));
        world.clock.advance(30s);
        CHECK(world.judge.summary() == "");
    }
}

// Guards against a successor that counts on leases that end with the authority, as those of earlier releases don't.
TEST_CASE("a task runs once if an owner of a release that doesn't record its leases' horizon is cut off with a worker")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeparatedOwner world(seed);
        world.cutFromStore();
        // The earlier release grants 6 s until 9 s after the last confirmation.
        world.first->cellSettings.authority = 15s;
        const std::string key = Cells::StoreKeys::cell(Cells::CellId("yard-0"));
        nlohmann::json record = nlohmann::json::parse(world.record());
        REQUIRE(record.erase("lease-horizon-ms") == 1);
        world.store.put(key, record.dump());
        world.awaitSuccessor();
        world.clock.advance(30s);
        CHECK(world.judge.summary() == "");
        CHECK(world.running() == 8);
    }
}

TEST_CASE("an owner that has replaced a dead one takes its record for settled once all workers have reported")
{
    Fleet fleet;
    const auto recordOfCell = [&fleet] {
        const std::string key = Cells::StoreKeys::cell(Cells::CellId("yard-0"));
        const auto record = Cells::CellRecord::decode(fleet.store.recordsWithPrefix(key).at(key));
        REQUIRE(record);
        return *record;
    };
    CHECK_FALSE(recordOfCell().unsettled);
    const Cells::FencingToken first = recordOfCell().token;
    const Cells::FencingToken second = Cells::TokenRange::lastAfter(first);
    fleet.owner()->process.kill();
    for (size_t steps = 0; steps < 2000 && recordOfCell().token == first; ++steps)
        fleet.clock.advance(5ms);
    REQUIRE(recordOfCell().token == second);
    CHECK(recordOfCell().unsettled);
    fleet.clock.advance(2s);
    CHECK(recordOfCell().token == second);
    CHECK_FALSE(recordOfCell().unsettled);
}
