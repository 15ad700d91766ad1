// Tests of ordinary jobs in a cell that services have filled: their tasks run in a cell with room and are returned.
#include "Cells/Fleet.h"
#include "Cells/StoreKeys.h"
#include "Policy/UnreadEnd.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

constexpr uint64_t firstService = 100;
constexpr uint64_t jobNumber = 1;

/// The cell "yard-0", whose four cores a service fills, and the cell "shed-0" with as many free cores; three hosts.
struct FullCell : CellWorld {
    const Cells::CellId home { "yard-0" };
    const Cells::CellId peer { "shed-0" };
    uint64_t services = 0;
    uint64_t serviceStarts = 0;
    std::list<Outcome> outcomes;

    explicit FullCell(uint64_t seed, uint32_t serving = 4)
        : CellWorld(seed)
    {
        addWorkers("yard", 1, 4000);
        addWorkers("shed", 1, 4000);
        addHost("yard", "yard:1");
        addHost("shed", "shed:1");
        addHost("shed", "shed:2");
        clock.advance(8s);
        if (serving > 0)
            serve(home, serving);
        clock.advance(1s);
        REQUIRE(homeWorker().running() == serving);
    }
    RunWorker& homeWorker() { return *workers[0]; }
    RunWorker& peerWorker() { return *workers[1]; }
    WorldHost* ownerOf(const Cells::CellId& cell)
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engine(cell))
                return host;
        }
        return nullptr;
    }
    void submitTo(const Cells::CellId& cell, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        WorldHost* const owner = ownerOf(cell);
        REQUIRE(owner);
        owner->cellOwnership.engine(cell)->submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    void serve(const Cells::CellId& cell, uint32_t tasks)
    {
        serviceStarts += tasks;
        submitTo(cell, service(firstService + services++, tasks));
    }
    void submitJob(const std::string& payload, uint32_t tasks, uint32_t steps = 1)
    {
        submitTo(home, job(jobNumber, payload, tasks, steps));
    }
    /// The steps of the job run `times` times, the first time in two seconds.
    void submitScheduledJob(const std::string& payload, uint32_t tasks, uint32_t times, uint32_t steps = 1)
    {
        Jobs::JobRecord record = job(jobNumber, payload, tasks, steps);
        record.spec.occurrences = times;
        record.spec.firstDueMilliseconds = clock.wallMilliseconds() + 2000;
        record.spec.interval = 1500ms;
        submitTo(home, record);
    }
    std::optional<JobPhase> phaseOfJob() { return phase(*live().front(), jobNumber); }
    size_t runningOfJob() const { return judge.running(jobId(jobNumber)); }
    uint64_t startsOfJob() const { return judge.starts - serviceStarts; }
    void waitUntil(const std::function<bool()>& condition, Common::Duration limit = 10s)
    {
        const Common::MonotonicTime end = clock.now() + limit;
        while (!condition() && clock.now() < end)
            clock.step();
        REQUIRE(condition());
    }
    /// Records of the job in the peer cell and of transfers to either cell.
    size_t partRecords() const
    {
        const std::string toHome = Cells::StoreKeys::job(home, jobId(jobNumber)) + Cells::StoreKeys::transferMarker;
        return store.countWithPrefix(Cells::StoreKeys::job(peer, jobId(jobNumber))) + store.countWithPrefix(toHome);
    }
    void disconnect(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    /// Kills the cell's owner and starts another host at its address.
    void killOwnerOf(const Cells::CellId& cell)
    {
        WorldHost* const owner = ownerOf(cell);
        for (size_t index = 0; owner && index < hosts.size(); ++index) {
            if (hosts[index].get() == owner) {
                restart(index);
                return;
            }
        }
    }
};

/// Kills the owner at different times, most of them while tasks are transferred, run or are returned.
void killOwnerAtManyTimes(const Cells::CellId& cell)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        FullCell world(seed);
        world.submitJob("run:400", 2, 2);
        world.clock.advance(std::chrono::milliseconds(900 + 50 * seed));
        world.killOwnerOf(cell);
        world.clock.advance(15s);
        CHECK(world.phaseOfJob() == JobPhase::Completed);
        CHECK(world.startsOfJob() == 4);
        CHECK(world.homeWorker().running() == 4);
        CHECK(world.judge.summary() == "");
    }
}

} // namespace

TEST_CASE("an ordinary job in a full cell runs in a cell with room, and leaves no record there")
{
    FullCell world(1);
    world.submitJob("run:500", 3);
    world.clock.advance(3s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.startsOfJob() == 3);
    CHECK(world.peerWorker().starts == 3);
    CHECK(world.judge.summary() == "");
    world.clock.advance(135s);
    CHECK(world.partRecords() == 0);
    CHECK(world.judge.starts == 7);
}

TEST_CASE("every step of a job in a full cell runs elsewhere, after the steps that it depends on")
{
    FullCell world(2);
    world.submitJob("run:300", 2, 5);
    world.clock.advance(12s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.startsOfJob() == 10);
    CHECK(world.peerWorker().starts == 10);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a step whose cell has become full runs elsewhere although earlier steps ran at home")
{
    FullCell world(3, 2);
    world.submitJob("run:2000", 2, 2);
    world.clock.advance(1800ms);
    REQUIRE(world.runningOfJob() == 2);
    world.serve(world.home, 2);
    world.clock.advance(6s);
    CHECK(world.homeWorker().starts == 6);
    CHECK(world.peerWorker().starts == 2);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.judge.summary() == "");
}

// Guards against accepted jobs with times that never run because the workers of their cell are lost (issue 35, LOST).
TEST_CASE("a scheduled job whose cell loses its workers before the first time runs elsewhere, each time once")
{
    for (const uint32_t steps : { 1U, 2U }) {
        CAPTURE(steps);
        FullCell world(5, 0);
        world.submitScheduledJob("run:500", 2, 5, steps);
        world.clock.advance(500ms);
        world.homeWorker().crash();
        world.clock.advance(25s);
        CHECK(world.phaseOfJob() == JobPhase::Completed);
        CHECK(world.startsOfJob() == uint64_t { 10 } * steps);
        CHECK(world.judge.summary() == "");
        world.clock.advance(125s);
        CHECK(world.partRecords() == 0);
    }
}

TEST_CASE("a scheduled job in a full cell runs in a cell with room, no time of it before it is due")
{
    FullCell world(6);
    world.submitScheduledJob("run:2500", 1, 4);
    const int64_t firstDue = world.clock.wallMilliseconds() + 2000;
    for (uint32_t occurrence = 0; occurrence < 4; ++occurrence) {
        world.waitUntil([&] { return world.judge.running({ CellWorld::jobId(jobNumber), occurrence, 0, 0 }); });
        CHECK(world.clock.wallMilliseconds() >= firstDue + 1500 * occurrence);
    }
    world.clock.advance(10s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.peerWorker().starts == 4);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a scheduled job of a full cell runs each time once although owners of both cells are killed")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        FullCell world(seed);
        world.submitScheduledJob("run:400", 2, 4);
        world.clock.advance(std::chrono::milliseconds(2500 + 150 * seed));
        world.killOwnerOf(seed % 2 == 0 ? world.home : world.peer);
        world.clock.advance(35s);
        CHECK(world.phaseOfJob() == JobPhase::Completed);
        CHECK(world.startsOfJob() == 8);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a cancellation ends the tasks of a scheduled job in another cell, and no further time of it begins")
{
    FullCell world(7);
    world.submitScheduledJob("last", 2, 3);
    world.waitUntil([&] { return world.peerWorker().running() > 0; });
    CHECK(world.cancel(jobNumber));
    world.clock.advance(1s);
    CHECK(world.peerWorker().running() == 0);
    world.clock.advance(10s);
    CHECK(world.peerWorker().running() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("more tasks than the other cell has room for run there one after the other")
{
    FullCell world(4);
    world.submitJob("run:500", 11);
    world.clock.advance(15s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.startsOfJob() == 11);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a gang moves as a whole or not at all")
{
    FullCell world(5);
    Jobs::JobRecord gang = CellWorld::job(jobNumber, "run:500", 4);
    gang.spec.steps[0].gang = true;
    world.submitTo(world.home, gang);
    Jobs::JobRecord tooWide = CellWorld::job(2, "run:500", 5);
    tooWide.spec.steps[0].gang = true;
    world.submitTo(world.home, tooWide);
    world.clock.advance(10s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.phase(*world.live().front(), 2) == JobPhase::Queued);
    CHECK(world.startsOfJob() == 4);
    CHECK(world.store.countWithPrefix(Cells::StoreKeys::job(world.peer, CellWorld::jobId(2))) == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a job whose task fails in another cell is shown as failed after its last attempt there")
{
    FullCell world(6);
    world.submitJob("fail:300", 1);
    world.clock.advance(8s);
    CHECK(world.phaseOfJob() == JobPhase::Failed);
    CHECK(world.startsOfJob() == 2);
    world.clock.advance(125s);
    CHECK(world.startsOfJob() == 2);
    CHECK(world.partRecords() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("failed attempts at home count towards the limit in another cell")
{
    FullCell world(7, 3);
    world.submitJob("fail:1000", 1);
    world.clock.advance(800ms);
    REQUIRE(world.runningOfJob() == 1);
    world.serve(world.home, 1);
    world.clock.advance(8s);
    CHECK(world.homeWorker().starts == 5);
    CHECK(world.peerWorker().starts == 1);
    CHECK(world.phaseOfJob() == JobPhase::Failed);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a failure that is reported at home after the task was transferred counts in the other cell")
{
    FullCell world(11, 3);
    world.submitJob("fail:3000", 1);
    world.clock.advance(500ms);
    REQUIRE(world.runningOfJob() == 1);
    // The run fails while nobody reaches its worker; after its lease, and the wait for its end, its task moves.
    for (WorldHost* const host : world.live())
        world.disconnect(world.homeWorker().entry().address, host->address);
    world.waitUntil([&] { return world.peerWorker().running() == 4; }, 10s + Policy::longestUnreadEndWait);
    world.network.heal();
    world.clock.advance(15s);
    CHECK(world.phaseOfJob() == JobPhase::Failed);
    CHECK(world.homeWorker().starts == 4);
    CHECK(world.peerWorker().starts == 4);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a gang that fails in another cell is shown as failed after its last attempt there")
{
    FullCell world(8);
    Jobs::JobRecord gang = CellWorld::job(jobNumber, "fail:300", 2);
    gang.spec.steps[0].gang = true;
    world.submitTo(world.home, gang);
    world.clock.advance(10s);
    CHECK(world.phaseOfJob() == JobPhase::Failed);
    CHECK(world.startsOfJob() <= 4);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation reaches an ordinary job's tasks at any time of their transfer and return")
{
    size_t runningElsewhere = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        FullCell world(seed);
        world.submitJob("run:800", 2, 2);
        world.clock.advance(std::chrono::milliseconds(900 + 50 * seed));
        runningElsewhere += world.runningOfJob() > 0 ? 1 : 0;
        const bool ended = world.phaseOfJob() == JobPhase::Completed;
        CHECK(world.cancel(jobNumber));
        world.judge.cancelled.insert(CellWorld::jobId(jobNumber));
        CHECK(world.runningOfJob() == 0);
        world.clock.advance(4s);
        CHECK(world.phaseOfJob() == (ended ? JobPhase::Completed : JobPhase::Cancelled));
        CHECK(world.judge.summary() == "");
        world.clock.advance(125s);
        CHECK(world.partRecords() == 0);
    }
    CHECK(runningElsewhere > 10);
}

TEST_CASE("an ordinary job of a full cell survives the death of its cell's owner")
{
    killOwnerAtManyTimes(Cells::CellId("yard-0"));
}

TEST_CASE("an ordinary job of a full cell survives the death of the owner of the cell that runs it")
{
    killOwnerAtManyTimes(Cells::CellId("shed-0"));
}

TEST_CASE("tasks that end while nobody owns the job's cell are taken in by its next owner")
{
    FullCell world(9);
    world.submitJob("run:1500", 2);
    world.waitUntil([&] { return world.runningOfJob() == 2; });
    world.killOwnerOf(world.home);
    const std::string returns
        = Cells::StoreKeys::job(world.home, CellWorld::jobId(jobNumber)) + Cells::StoreKeys::transferMarker;
    world.waitUntil([&] { return world.store.countWithPrefix(returns) > 0; });
    world.killOwnerOf(world.peer);
    world.clock.advance(8s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.startsOfJob() == 2);
    CHECK(world.store.countWithPrefix(returns) == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("tasks that end together are all returned although the owner of the cell that ran them is killed meanwhile")
{
    constexpr uint64_t jobs = 18;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        FullCell world(seed);
        for (uint64_t number = 1; number <= jobs; ++number) {
            Jobs::JobRecord record = CellWorld::job(number, "run:1500", 1);
            record.spec.steps[0].resources.milliCores = 100;
            world.submitTo(world.home, record);
        }
        world.waitUntil([&] { return world.peerWorker().running() == jobs; });
        const auto returns = [&world] {
            size_t count = 0;
            for (uint64_t number = 1; number <= jobs; ++number)
                count += world.store.countWithPrefix(
                    Cells::StoreKeys::job(world.home, CellWorld::jobId(number)) + Cells::StoreKeys::transferMarker);
            return count;
        };
        world.waitUntil([&] { return returns() > 1; });
        world.killOwnerOf(world.peer);
        world.clock.advance(20s);
        size_t completed = 0;
        for (uint64_t number = 1; number <= jobs; ++number)
            completed += world.phase(*world.live().front(), number) == JobPhase::Completed ? 1 : 0;
        CHECK(completed == jobs);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("tasks that were returned one by one while nobody owned the job's cell don't stop its next owner")
{
    constexpr uint32_t tasks = 60;
    FullCell world(12);
    for (const char* const name : { "yard:2", "yard:3" })
        world.addHost("yard", name);
    Jobs::JobRecord record = CellWorld::job(jobNumber, "run:30", tasks);
    record.spec.steps[0].resources.milliCores = 60;
    world.peerWorker().refusesStarts = true;
    world.submitTo(world.home, record);
    world.clock.advance(2s);
    // Leaves room for one task of the job at a time.
    Jobs::JobRecord filling = CellWorld::service(firstService + 1, 1);
    filling.spec.steps[0].resources.milliCores = 3900;
    world.submitTo(world.peer, filling);
    world.clock.advance(1s);
    world.peerWorker().refusesStarts = false;
    world.waitUntil([&] { return world.runningOfJob() > 0; });
    const std::string returns
        = Cells::StoreKeys::job(world.home, CellWorld::jobId(jobNumber)) + Cells::StoreKeys::transferMarker;
    size_t mostReturns = 0;
    const Common::MonotonicTime end = world.clock.now() + 7s;
    while (world.clock.now() < end) {
        WorldHost* const owner = world.ownerOf(world.home);
        if (owner && owner != world.ownerOf(world.peer))
            owner->process.kill();
        world.clock.step();
        mostReturns = std::max(mostReturns, world.store.countWithPrefix(returns));
    }
    CHECK(mostReturns > Cells::RecordStore::maximumEntries);
    world.clock.advance(20s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.store.countWithPrefix(returns) == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a step that fits in no cell doesn't keep another step of its job from running elsewhere")
{
    FullCell world(13);
    Jobs::JobRecord record = CellWorld::job(jobNumber, "run:500", 2, 2);
    record.spec.steps[0].resources.milliCores = 8000;
    record.spec.steps[1].after.clear();
    world.submitTo(world.home, record);
    world.clock.advance(30s);
    CHECK(world.peerWorker().starts == 2);
    CHECK(world.startsOfJob() == 2);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a gang of which some members still run isn't divided between cells")
{
    FullCell world(14, 0);
    world.addWorkers("yard", 2, 4000);
    world.addWorkers("shed", 20, 4000);
    world.clock.advance(3s);
    const auto large = [](Jobs::JobRecord record, uint32_t priority) {
        record.policy.priority = priority;
        record.spec.steps[0].resources.milliCores = 3000;
        return record;
    };
    Jobs::JobRecord gang = large(CellWorld::service(jobNumber, 3), 2);
    gang.spec.steps[0].gang = true;
    world.submitTo(world.home, gang);
    world.clock.advance(1s);
    REQUIRE(world.homeWorker().running() == 1);
    world.homeWorker().crash();
    // Ranked before the gang, and blocked like its lost member.
    for (uint64_t number = 0; number < 12; ++number) {
        world.submitTo(world.home, large(CellWorld::service(firstService + number, 1), 1));
        world.clock.advance(1s);
    }
    CHECK(world.partRecords() == 0);
    CHECK(world.runningOfJob() == 2);
}

TEST_CASE("nothing is transferred while the other cell is full too")
{
    FullCell world(10);
    world.serve(world.peer, 4);
    world.clock.advance(2s);
    REQUIRE(world.running() == 8);
    world.submitJob("run:500", 2);
    world.clock.advance(20s);
    CHECK(world.phaseOfJob() == JobPhase::Queued);
    CHECK(world.partRecords() == 0);
    CHECK(world.cancel(firstService + 1));
    world.clock.advance(6s);
    CHECK(world.phaseOfJob() == JobPhase::Completed);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a job whose transferred task crashes its workers is failed by its own cell")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        FullCell world(seed);
        world.submitJob("crash:300", 1);
        world.clock.advance(60s);
        CHECK(world.phaseOfJob() == JobPhase::Failed);
        CHECK(world.startsOfJob() <= 5);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a job that is submitted again where a part of it runs is shown as its own cell shows it")
{
    FullCell world(1);
    world.submitJob("run:1500", 2);
    world.waitUntil([&] { return world.peerWorker().running() == 2; });
    WorldHost& host = *world.ownerOf(world.peer);
    // Chosen by room, the cell with the part gets the submission.
    Outcome again;
    world.submit(host, CellWorld::job(jobNumber, "run:1500", 2), again);
    world.clock.advance(1s);
    REQUIRE(again);
    CHECK(again->hasValue());
    world.clock.advance(8s);
    for (WorldHost* const asked : world.live())
        CHECK(world.phase(*asked, jobNumber) == JobPhase::Completed);
    CHECK(world.judge.summary() == "");
}
