// The log keeps what it acknowledged, fences replaced owners, and stays within the store's limits.
#include "Ledger/LedgerShard.h"

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Fakes/FakeStore.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/LedgerSeeds.h"
#include "Ledger/PausableRuntime.h"

#include <doctest/doctest.h>

#include <set>

using namespace Ledger;
using namespace std::chrono_literals;

namespace {

struct Owner {
    Owner(
        Fakes::VirtualRuntime& world, Fakes::FakeStore& store, const LedgerSettings& settings, const std::string& name)
        : runtime(world)
        , timeline(name, 100, [this] { return runtime.wallMilliseconds(); })
        , shard(Scheduler::ServiceContext { runtime, timeline, metrics }, store.client(name, runtime), ShardIndex { 3 },
              Common::DaemonId(name), settings)
    {
        shard.onFenced([this] { owned = false; });
    }
    void recover()
    {
        shard.recover([this](const Common::Result<Common::Done>& result) { owned = result.hasValue(); });
    }
    void add(const std::string& request)
    {
        shard.commit(LedgerDelta { LedgerDelta::IntentAdded { Common::RequestId(request), 1 } },
            [this, request](const Common::Result<Common::Done>& result) {
                if (result)
                    durable.insert(request);
                else if (result.reason().code == Common::ErrorCode::NotOwner)
                    refused.insert(request);
            });
    }
    bool has(const std::string& request) const { return shard.state().hasIntent(Common::RequestId(request)); }

    LedgerTests::PausableRuntime runtime;
    Common::Timeline timeline;
    Common::Metrics metrics;
    LedgerShard shard;
    bool owned = false;
    std::set<std::string> durable;
    std::set<std::string> refused;
};

struct World {
    Fakes::VirtualRuntime runtime;
    Fakes::FakeStore store { runtime };
    LedgerSettings settings;

    explicit World(uint64_t seed = 1)
        : runtime(seed)
    {
    }
};

} // namespace

TEST_CASE("pending deltas are committed together at a bounded rate")
{
    World world;
    Owner owner(world.runtime, world.store, world.settings, "a");
    owner.recover();
    world.runtime.advance(1s);
    const uint64_t before = world.store.counts.writes;
    for (int number = 0; number < 5000; ++number) {
        owner.add("r" + std::to_string(number));
        world.runtime.advance(2ms);
    }
    world.runtime.advance(1s);
    CHECK(owner.durable.size() == 5000);
    // Eleven seconds at eight commits per second, plus the burst.
    CHECK(world.store.counts.writes - before <= 11 * 8 + 8 + 1);
}

TEST_CASE("a successor recovers the whole state after a small ring was overwritten many times")
{
    World world;
    world.settings.slotCount = 16;
    world.settings.reservedSlots = 4;
    world.settings.snapshotEvery = 6;
    world.settings.maximumPartBytes = 500;
    world.settings.maximumEntryBytes = 300;
    Owner first(world.runtime, world.store, world.settings, "a");
    first.recover();
    world.runtime.advance(1s);
    for (int number = 0; number < 600; ++number) {
        first.add("request-" + std::to_string(number));
        world.runtime.advance(100ms);
    }
    world.runtime.advance(30s);
    REQUIRE(first.durable.size() == 600);
    Owner second(world.runtime, world.store, world.settings, "b");
    second.recover();
    world.runtime.advance(1s);
    REQUIRE(second.owned);
    CHECK(second.shard.state().intents() == 600);
    // Each snapshot part also has a head line.
    CHECK(world.store.counts.largestValue < 700);
}

TEST_CASE("a replaced owner that resumes after a full round of the ring commits nothing")
{
    World world;
    world.settings.slotCount = 16;
    world.settings.reservedSlots = 4;
    world.settings.snapshotEvery = 6;
    Owner old(world.runtime, world.store, world.settings, "a");
    old.recover();
    world.runtime.advance(1s);
    old.add("kept");
    world.runtime.advance(1s);
    old.runtime.pause();
    Owner fresh(world.runtime, world.store, world.settings, "b");
    fresh.recover();
    world.runtime.advance(1s);
    for (int number = 0; number < 100; ++number) {
        fresh.add("r" + std::to_string(number));
        world.runtime.advance(200ms);
    }
    old.add("late");
    old.runtime.resume();
    world.runtime.advance(5s);
    CHECK_FALSE(old.owned);
    CHECK_FALSE(old.durable.contains("late"));
    CHECK(fresh.owned);
    CHECK(fresh.has("kept"));
}

TEST_CASE("an idle owner detects its replacement with few reads")
{
    World world;
    Owner first(world.runtime, world.store, world.settings, "a");
    first.recover();
    world.runtime.advance(1s);
    Owner second(world.runtime, world.store, world.settings, "b");
    second.recover();
    world.runtime.advance(1s);
    REQUIRE(second.owned);
    const uint64_t before = world.store.counts.gets;
    world.runtime.advance(60s);
    CHECK_FALSE(first.owned);
    CHECK(second.owned);
    CHECK(world.store.counts.gets - before <= 14);
}

TEST_CASE("values stay under a megabyte for any backlog")
{
    World world;
    Owner owner(world.runtime, world.store, world.settings, "a");
    owner.recover();
    world.runtime.advance(1s);
    world.store.faults.down = true;
    for (int number = 0; number < 50000; ++number)
        owner.add("a-request-with-a-rather-long-name-" + std::to_string(number));
    world.runtime.advance(60s);
    CHECK(owner.durable.empty());
    world.store.faults.down = false;
    world.runtime.advance(60s);
    CHECK(owner.durable.size() == 50000);
    CHECK(world.store.counts.largestValue < 1000 * 1000);
}

TEST_CASE("no slot is overwritten before a snapshot contains its entry, however slow the snapshot is")
{
    World world;
    world.settings.slotCount = 16;
    world.settings.reservedSlots = 4;
    world.settings.snapshotEvery = 6;
    world.settings.commitGap = 1ms;
    world.settings.commitsPerSecond = 500;
    // Each record is a part of its own, so that a snapshot takes far longer than a round of the ring.
    world.settings.maximumPartBytes = 10;
    Owner first(world.runtime, world.store, world.settings, "a");
    first.recover();
    world.runtime.advance(1s);
    for (int number = 0; number < 400; ++number) {
        first.add("r" + std::to_string(number));
        world.runtime.advance(5ms);
    }
    first.runtime.kill();
    Owner second(world.runtime, world.store, world.settings, "b");
    second.recover();
    world.runtime.advance(5s);
    REQUIRE(second.owned);
    REQUIRE(first.durable.size() > 20);
    for (const std::string& request : first.durable)
        CHECK(second.has(request));
}

TEST_CASE("a commit whose answer was lost before the shard was lost is not reported as refused")
{
    World world;
    world.settings.slotCount = 16;
    world.settings.reservedSlots = 4;
    world.settings.snapshotEvery = 6;
    Owner old(world.runtime, world.store, world.settings, "a");
    old.recover();
    world.runtime.advance(1s);
    world.store.faults.lostAnswers = 100;
    old.add("lost answer");
    world.runtime.advance(1ms);
    world.store.cut("a");
    world.store.faults.lostAnswers = 0;
    world.runtime.advance(1s);
    Owner fresh(world.runtime, world.store, world.settings, "b");
    fresh.recover();
    world.runtime.advance(1s);
    REQUIRE(fresh.has("lost answer"));
    // After a full round of the ring the old owner finds another entry in its slot.
    for (int number = 0; number < 40; ++number) {
        fresh.add("r" + std::to_string(number));
        world.runtime.advance(200ms);
    }
    world.store.heal("a");
    world.runtime.advance(10s);
    CHECK_FALSE(old.owned);
    CHECK(old.refused.empty());
}

TEST_CASE("no acknowledged delta is lost through lost answers, late writes, outages, pauses and takeovers")
{
    LedgerTests::forEachSeed(1500, [](uint64_t seed) {
        CAPTURE(seed);
        World world(seed);
        world.settings.slotCount = 24;
        world.settings.reservedSlots = 12;
        world.settings.snapshotEvery = 5;
        world.settings.maximumPartBytes = 300;
        world.settings.commitsPerSecond = 40;
        std::vector<std::unique_ptr<Owner>> owners;
        const auto random = [&](uint64_t bound) { return world.runtime.random()() % bound; };
        for (int step = 0; step < 120; ++step) {
            world.store.faults.lostAnswers = random(3) == 0 ? 30 : 0;
            world.store.faults.lateWrites = random(4) == 0 ? 20 : 0;
            world.store.faults.down = random(8) == 0;
            if (owners.empty() || (!owners.back()->owned && random(2) == 0) || random(25) == 0) {
                owners.push_back(std::make_unique<Owner>(
                    world.runtime, world.store, world.settings, "d" + std::to_string(owners.size())));
                owners.back()->recover();
            }
            for (const auto& owner : owners) {
                if (random(10) == 0)
                    owner->runtime.pause();
                else if (random(3) == 0)
                    owner->runtime.resume();
                if (owner->owned && owner->runtime.running())
                    owner->add("s" + std::to_string(step) + "-" + std::to_string(&owner - owners.data()));
            }
            world.runtime.advance(Common::Duration(static_cast<int64_t>(random(400000))));
        }
        world.store.faults = {};
        for (const auto& owner : owners)
            owner->runtime.resume();
        Owner last(world.runtime, world.store, world.settings, "last");
        for (int attempt = 0; attempt < 20 && !last.owned; ++attempt) {
            last.recover();
            world.runtime.advance(3s);
        }
        REQUIRE(last.owned);
        for (const auto& owner : owners)
            owner->add("after the last takeover");
        world.runtime.advance(10s);
        for (const auto& owner : owners) {
            CHECK_FALSE(owner->durable.contains("after the last takeover"));
            for (const std::string& request : owner->durable)
                CHECK(last.has(request));
            for (const std::string& request : owner->refused)
                CHECK_FALSE(last.has(request));
        }
    });
}
