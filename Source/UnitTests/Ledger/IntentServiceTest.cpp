// Runs at-most-once requests and counts how often each is dispatched.
#include "Ledger/IntentService.h"

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Fakes/FakeStore.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/LedgerSeeds.h"
#include "Ledger/PausableRuntime.h"
#include "Ledger/ShardOwners.h"
#include "Ledger/TestMembership.h"

#include <doctest/doctest.h>

using namespace Ledger;
using namespace std::chrono_literals;

namespace {

/// How often each request ran, on all daemons together.
using RunCounts = std::map<std::string, int>;

struct Daemon {
    Daemon(Fakes::VirtualRuntime& world, Fakes::FakeStore& store, const LedgerSettings& settings,
        const std::string& name, RunCounts& runCounts)
        : runtime(world)
        , members(name)
        , timeline(name, 100, [this] { return runtime.wallMilliseconds(); })
        , context { runtime, timeline, metrics }
        , owners(context, store.client(name, runtime), members, settings)
        , intents(context, owners, settings)
        , runCounts(runCounts)
    {
        owners.start();
    }

    /// Begins the request and dispatches it if the verdict is Fresh. `outcome` sets how the run ends: 0 is not run, 1
    /// is unknown, other values are an answer.
    void request(const std::string& id, int outcome)
    {
        ++requested;
        auto answers = std::make_shared<int>(0);
        intents.begin(Common::RequestId(id), [this, id, outcome, answers](const auto& verdict) {
            CHECK(++*answers == 1);
            ++answered;
            if (!verdict) {
                lastFailure = verdict.reason();
                return;
            }
            last = *verdict;
            if (std::holds_alternative<IntentService::Fresh>(*verdict))
                dispatch(id, outcome);
        });
    }
    void dispatch(const std::string& id, int outcome)
    {
        if (outcome == 0) {
            // The dispatch is refused before it reaches a worker.
            end(id, IntentService::NotRun { { Common::ErrorCode::NoWorker } });
            return;
        }
        ++runCounts[id];
        if (outcome == 1)
            end(id, IntentService::Unknown {});
        else
            end(id, Scheduler::RunAnswer { .body = "answer to " + id });
    }
    void end(const std::string& id, const IntentService::Outcome& outcome)
    {
        runtime.schedule(Common::Duration(static_cast<int64_t>(runtime.random()() % 1500000)),
            [this, id, outcome] { intents.finish(Common::RequestId(id), outcome); });
    }

    LedgerTests::PausableRuntime runtime;
    LedgerTests::TestMembership members;
    Common::Timeline timeline;
    Common::Metrics metrics;
    Scheduler::ServiceContext context;
    ShardOwners owners;
    IntentService intents;
    RunCounts& runCounts;
    int requested = 0;
    int answered = 0;
    std::optional<IntentService::Verdict> last;
    std::optional<Common::Failure> lastFailure;
};

struct World {
    Fakes::VirtualRuntime runtime;
    Fakes::FakeStore store { runtime };
    LedgerSettings settings { .shardCount = 2, .slotCount = 24, .reservedSlots = 12, .snapshotEvery = 6 };
    RunCounts runCounts;
    std::vector<std::unique_ptr<Daemon>> daemons;

    explicit World(uint64_t seed = 1)
        : runtime(seed)
    {
    }
    Daemon& add(const std::string& name)
    {
        daemons.push_back(std::make_unique<Daemon>(runtime, store, settings, name, runCounts));
        return *daemons.back();
    }
    uint64_t random(uint64_t bound) { return runtime.random()() % bound; }
};

} // namespace

TEST_CASE("repeats join the run, later ones get the kept answer, and a successor answers unknown")
{
    World world;
    Daemon& first = world.add("a");
    world.runtime.advance(3s);
    first.request("r", 2);
    world.runtime.advance(50ms);
    CHECK(world.runCounts["r"] == 1);
    first.request("r", 2);
    world.runtime.advance(3s);
    REQUIRE(first.answered == 2);
    CHECK(std::get<IntentService::Answered>(*first.last).answer.body == "answer to r");
    first.request("r", 2);
    CHECK(std::holds_alternative<IntentService::Answered>(*first.last));
    first.runtime.kill();
    Daemon& second = world.add("b");
    world.runtime.advance(3s);
    second.request("r", 2);
    CHECK(std::holds_alternative<IntentService::Unknown>(*second.last));
    CHECK(world.runCounts["r"] == 1);
}

TEST_CASE("while the store is unavailable requests are refused in bounded time and may run later")
{
    World world;
    Daemon& daemon = world.add("a");
    world.runtime.advance(3s);
    world.store.faults.down = true;
    daemon.request("r", 2);
    world.runtime.advance(world.settings.acceptTimeout);
    REQUIRE(daemon.lastFailure);
    CHECK(daemon.lastFailure->code == Common::ErrorCode::StoreUnavailable);
    world.store.faults.down = false;
    world.runtime.advance(5s);
    CHECK(world.runCounts.empty());
    daemon.request("r", 2);
    world.runtime.advance(5s);
    CHECK(world.runCounts["r"] == 1);
}

TEST_CASE("a daemon that doesn't own the shard answers NotOwner with a retry delay")
{
    World world;
    Daemon& daemon = world.add("a");
    daemon.request("r", 2);
    REQUIRE(daemon.lastFailure);
    CHECK(daemon.lastFailure->code == Common::ErrorCode::NotOwner);
    CHECK(daemon.lastFailure->retryAfter == world.settings.storeRetryAfter);
}

TEST_CASE("an intent that becomes durable after its caller timed out is removed")
{
    World world;
    Daemon& daemon = world.add("a");
    world.runtime.advance(3s);
    world.store.faults.lostAnswers = 100;
    world.store.faults.minimumLatency = world.store.faults.maximumLatency = 3s;
    daemon.request("r", 2);
    world.runtime.advance(1s);
    REQUIRE(daemon.lastFailure);
    CHECK(daemon.lastFailure->code == Common::ErrorCode::StoreUnavailable);
    world.store.faults = {};
    world.runtime.advance(10s);
    daemon.request("r", 2);
    world.runtime.advance(3s);
    CHECK(world.runCounts["r"] == 1);
}

TEST_CASE("kept answers stay within their size limit")
{
    World world;
    world.settings.maximumAnswerBytes = 30;
    Daemon& daemon = world.add("a");
    world.runtime.advance(3s);
    for (const char* id : { "r1", "r2", "r3" }) {
        daemon.request(id, 2);
        world.runtime.advance(3s);
    }
    daemon.request("r1", 2);
    CHECK(std::holds_alternative<IntentService::Unknown>(*daemon.last));
    daemon.request("r3", 2);
    CHECK(std::holds_alternative<IntentService::Answered>(*daemon.last));
}

TEST_CASE("no request runs twice, and every caller is answered once")
{
    size_t schedules = 0;
    size_t requestsRun = 0;
    LedgerTests::forEachSeed(1500, [&](uint64_t seed) {
        CAPTURE(seed);
        World world(seed);
        std::vector<std::string> names;
        for (int step = 0; step < 80; ++step) {
            if (names.size() < 3 || world.random(40) == 0) {
                names.push_back("d" + std::to_string(names.size()));
                world.add(names.back());
            }
            world.store.faults.lostAnswers = world.random(3) == 0 ? 30 : 0;
            world.store.faults.lateWrites = world.random(4) == 0 ? 20 : 0;
            world.store.faults.down = world.random(8) == 0;
            for (const auto& daemon : world.daemons) {
                const uint64_t fate = world.random(60);
                if (fate == 0)
                    daemon->runtime.kill();
                else if (fate < 6)
                    daemon->runtime.pause();
                else if (fate < 25)
                    daemon->runtime.resume();
                // Each daemon may have a different view of the live daemons.
                if (world.random(12) == 0)
                    daemon->members.see({ names[world.random(names.size())], daemon->members.self().id.value() });
                for (int call = 0; call < 3; ++call) {
                    if (daemon->runtime.running())
                        daemon->request("r" + std::to_string(world.random(60)), static_cast<int>(world.random(4)));
                }
            }
            world.runtime.advance(Common::Duration(static_cast<int64_t>(world.random(900000))));
        }
        world.store.faults = {};
        for (const auto& daemon : world.daemons)
            daemon->runtime.resume();
        world.runtime.advance(30s);
        for (const auto& entry : world.runCounts)
            CHECK_MESSAGE(entry.second == 1, entry.first);
        for (const auto& daemon : world.daemons) {
            if (daemon->runtime.running())
                CHECK(daemon->requested == daemon->answered);
        }
        ++schedules;
        requestsRun += world.runCounts.size();
    });
    // Enough requests ran despite the faults for the checks above to be meaningful.
    CHECK(requestsRun > schedules * 10);
}
