// Tests of long-running tasks of a lost worker, in cells that an endless stream of short tasks keeps full.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstService = 1;
constexpr uint64_t services = 4;
constexpr uint32_t tasksOfService = 4;
constexpr uint64_t firstShortJob = 1000;
constexpr int64_t workerMilliCores = 4000;
constexpr int64_t workersPerDomain = 11;
constexpr int shortestRun = 3000;
constexpr int longestRun = 9000;
/// From the end of the lost worker's lease to the next run of the last of its long-running tasks.
constexpr Common::Duration roomBound = 4s;
constexpr int64_t serviceMilliCores = 1300;
constexpr int leastMilliCores = 200;
constexpr uint64_t mostStopsForTask = (serviceMilliCores + leastMilliCores - 1) / leastMilliCores;

struct Options {
    size_t cells = 1;
    /// Otherwise ordinary tasks run in the first cell only.
    bool allFull = true;
    uint32_t shortPriority = 1;
};

/// Cells of eleven workers each. The first cell runs services; ordinary tasks keep the room beside them full, in all
/// cells if `allFull`.
struct BusyCells : CellWorld {
    BusyCells(uint64_t seed, const Options& options)
        : CellWorld(seed)
        , m_random(seed)
        , m_options(options)
    {
        addWorkers("yard", static_cast<size_t>(workersPerDomain), workerMilliCores, { "first" });
        addHost("yard", "yard:1");
        addHost("yard", "yard:2");
        if (m_options.cells > 1) {
            addWorkers("shed", static_cast<size_t>(workersPerDomain), workerMilliCores);
            addHost("shed", "shed:1");
        }
        clock.advance(8s);
        for (uint64_t number = 0; number < services; ++number) {
            Jobs::JobRecord record = service(firstService + number, tasksOfService);
            record.spec.steps[0].resources.milliCores = serviceMilliCores;
            record.spec.steps[0].maximumPerWorker = 1;
            record.policy.priority = 1;
            submitTo(home, record);
        }
        clock.advance(1s);
        offerFor(12s);
    }
    const Cells::CellId home { "yard-0" };

    Cells::CellEngine* engine(const Cells::CellId& cell)
    {
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const found = host->cellOwnership.engine(cell))
                return found;
        }
        return nullptr;
    }
    void submitTo(const Cells::CellId& cell, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        Cells::CellEngine* const owner = engine(cell);
        REQUIRE(owner);
        owner->submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// Keeps more ordinary tasks waiting in the cell than its workers hold.
    void offer(const Cells::CellId& cell)
    {
        std::map<Common::JobId, int64_t>& open = m_open[cell];
        std::erase_if(open, [this](const auto& row) { return judge.wasDone({ row.first, 0, 0, 0 }); });
        int64_t offered = 0;
        for (const auto& [id, milliCores] : open)
            offered += milliCores;
        while (offered < workersPerDomain * workerMilliCores) {
            const int run = between(shortestRun, longestRun);
            Jobs::JobRecord record = job(firstShortJob + m_shortJobs++, "run:" + std::to_string(run), 1);
            record.policy.priority = m_options.shortPriority;
            record.spec.steps[0].requiredLabel = m_options.allFull ? "" : "first";
            record.spec.steps[0].resources.milliCores = between(leastMilliCores, 600);
            record.spec.steps[0].estimate = std::chrono::milliseconds(run * between(5, 20) / 10);
            open[record.id] = record.spec.steps[0].resources.milliCores;
            offered += record.spec.steps[0].resources.milliCores;
            submitTo(cell, record);
        }
    }
    void offerFor(Common::Duration span)
    {
        const Common::MonotonicTime end = clock.now() + span;
        while (clock.now() < end) {
            offer(home);
            if (m_options.cells > 1 && m_options.allFull)
                offer(Cells::CellId("shed-0"));
            clock.advance(20ms);
        }
    }
    size_t runningServiceTasks() const
    {
        size_t count = 0;
        for (uint64_t number = 0; number < services; ++number)
            count += judge.running(jobId(firstService + number));
        return count;
    }
    /// The first worker with as many tasks of services.
    RunWorker* workerWithServices(size_t least)
    {
        for (const auto& worker : workers) {
            const auto count = std::count_if(judge.startedOn.begin(), judge.startedOn.end(), [&](const auto& row) {
                return judge.running(row.first) && row.second == worker->entry().id.value()
                    && judge.submitted.at(row.first.job).steps[0].longRunning;
            });
            if (static_cast<size_t>(count) >= least)
                return worker.get();
        }
        return nullptr;
    }
    uint64_t stoppedRuns() const
    {
        uint64_t count = 0;
        for (const auto& worker : workers)
            count += worker->stoppedRuns;
        return count;
    }
    double stoppedCoreSeconds() const
    {
        double sum = 0;
        for (const auto& worker : workers)
            sum += worker->stoppedCoreSeconds;
        return sum;
    }

private:
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }

    std::mt19937_64 m_random;
    Options m_options;
    uint64_t m_shortJobs = 0;
    std::map<Cells::CellId, std::map<Common::JobId, int64_t>> m_open;
};

constexpr size_t allTasks = services * tasksOfService;

/// Loses a worker with at least two tasks of services and waits until they run again, at most for the bound. Returns
/// how many there were.
size_t loseWorker(BusyCells& world)
{
    REQUIRE(world.runningServiceTasks() == allTasks);
    RunWorker* const lost = world.workerWithServices(2);
    REQUIRE(lost);
    CHECK(world.stoppedRuns() == 0);
    lost->crash();
    const Common::MonotonicTime lostAt = world.clock.now();
    const size_t tasks = allTasks - world.runningServiceTasks();
    // Its host may have renewed the lease until the last poll counted as unanswered.
    const Cells::CellSettings settings;
    const Common::Duration lease = Cells::WorkerLease::onSlowestClock(settings.runLease) + settings.pollWait;
    const Common::MonotonicTime end = lostAt + lease + roomBound;
    while (world.clock.now() < end && world.runningServiceTasks() < allTasks)
        world.offerFor(20ms);
    return tasks;
}

void expectRoomMade(uint64_t seed, const Options& options)
{
    CAPTURE(seed);
    BusyCells world(seed, options);
    const size_t tasks = loseWorker(world);
    CAPTURE(world.stoppedCoreSeconds());
    CHECK(world.runningServiceTasks() == allTasks);
    CHECK(world.stoppedRuns() <= tasks * mostStopsForTask);
    const uint64_t stopped = world.stoppedRuns();
    world.offerFor(5s);
    CHECK(world.stoppedRuns() == stopped);
    CHECK(world.runningServiceTasks() == allTasks);
    CHECK(world.judge.summary() == "");
}

} // namespace

TEST_CASE("long-running tasks of a lost worker run again though short tasks take each free core of the only cell")
{
    for (uint64_t seed = 1; seed <= 8; ++seed)
        expectRoomMade(seed, {});
}

TEST_CASE("long-running tasks of a lost worker run again though short tasks take each free core of all cells")
{
    for (uint64_t seed = 11; seed <= 16; ++seed)
        expectRoomMade(seed, { .cells = 2 });
}

TEST_CASE("nothing is stopped for long-running tasks that find room in another cell")
{
    for (uint64_t seed = 21; seed <= 24; ++seed) {
        CAPTURE(seed);
        BusyCells world(seed, { .cells = 2, .allFull = false });
        loseWorker(world);
        CHECK(world.runningServiceTasks() == allTasks);
        CHECK(world.stoppedRuns() == 0);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("runs of a better priority aren't stopped for long-running tasks")
{
    for (uint64_t seed = 31; seed <= 34; ++seed) {
        CAPTURE(seed);
        BusyCells world(seed, { .shortPriority = 0 });
        loseWorker(world);
        CHECK(world.stoppedRuns() == 0);
        CHECK(world.judge.summary() == "");
    }
}
