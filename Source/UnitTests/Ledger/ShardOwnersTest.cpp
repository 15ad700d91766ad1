// Shards get owners without overloading the store.
#include "Ledger/ShardOwners.h"

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Fakes/FakeStore.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/PausableRuntime.h"
#include "Ledger/TestMembership.h"

#include <doctest/doctest.h>

using namespace Ledger;
using namespace std::chrono_literals;

namespace {

struct Daemon {
    Daemon(
        Fakes::VirtualRuntime& world, Fakes::FakeStore& store, const LedgerSettings& settings, const std::string& name)
        : runtime(world)
        , members(name)
        , timeline(name, 100, [this] { return runtime.wallMilliseconds(); })
        , owners({ runtime, timeline, metrics }, store.client(name, runtime), members, settings)
    {
        owners.start();
    }

    LedgerTests::PausableRuntime runtime;
    LedgerTests::TestMembership members;
    Common::Timeline timeline;
    Common::Metrics metrics;
    ShardOwners owners;
};

struct World {
    explicit World(int count)
    {
        for (int number = 0; number < count; ++number) {
            names.push_back("d" + std::to_string(number));
            daemons.push_back(std::make_unique<Daemon>(runtime, store, settings, names.back()));
        }
        see(names);
    }
    void see(const std::vector<std::string>& alive)
    {
        for (const auto& daemon : daemons)
            daemon->members.see(alive);
    }
    size_t owned() const
    {
        size_t sum = 0;
        for (const auto& daemon : daemons)
            sum += daemon->runtime.running() ? daemon->owners.ownedShards().size() : 0;
        return sum;
    }
    uint64_t calls() const { return store.counts.gets + store.counts.lists + store.counts.writes; }

    Fakes::VirtualRuntime runtime { 1 };
    Fakes::FakeStore store { runtime };
    LedgerSettings settings;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

} // namespace

TEST_CASE("each shard has one owner, and the shards of a dead owner are taken over within seconds")
{
    World world(6);
    world.runtime.advance(5s);
    CHECK(world.owned() == 16);
    world.daemons[0]->runtime.kill();
    world.see({ "d1", "d2", "d3", "d4", "d5" });
    world.runtime.advance(5s);
    CHECK(world.owned() == 16);
}

TEST_CASE("a drained daemon hands over its shards within seconds")
{
    World world(3);
    world.runtime.advance(5s);
    bool drained = false;
    world.daemons[0]->owners.drain([&] { drained = true; });
    world.see({ "d1", "d2" });
    world.runtime.advance(3s);
    CHECK(drained);
    CHECK(world.daemons[0]->owners.ownedShards().empty());
    CHECK(world.owned() == 16);
}

TEST_CASE("after an outage takeovers make a bounded number of store calls per second")
{
    World world(6);
    world.runtime.advance(5s);
    world.store.faults.down = true;
    world.daemons[0]->runtime.kill();
    world.daemons[1]->runtime.kill();
    world.see({ "d2", "d3", "d4", "d5" });
    uint64_t most = 0;
    const auto watch = [&](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            const uint64_t before = world.calls();
            world.runtime.advance(1s);
            most = std::max(most, world.calls() - before);
        }
    };
    watch(60);
    world.store.faults.down = false;
    watch(30);
    CHECK(world.owned() == 16);
    MESSAGE("most store calls in a second by four daemons: " << most);
    // Each of the four daemons starts ten recoveries per second of at most four calls each.
    CHECK(most <= 4 * 10 * 4);
}

TEST_CASE("two daemons that both claim all shards make a bounded number of store calls")
{
    World world(2);
    for (const auto& daemon : world.daemons)
        daemon->members.see({ daemon->members.self().id.value() });
    world.runtime.advance(10s);
    const uint64_t before = world.calls();
    world.runtime.advance(60s);
    CHECK(world.calls() - before < 2 * 16 * 60);
}
