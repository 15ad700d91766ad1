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

/// Cells of eleven workers each. The first cell runs services; ordinary tasks keep the room beside them full, in all
/// cells if `allFull`.
struct BusyCells : CellWorld {
    BusyCells(uint64_t seed, bool allFull)
        : CellWorld(seed)
        , m_random(seed)
        , m_allFull(allFull)
    {
        addWorkers("yard", static_cast<size_t>(workersPerDomain), workerMilliCores);
        addHost("yard", "yard:1");
        addHost("yard", "yard:2");
        if (m_allFull) {
            addWorkers("shed", static_cast<size_t>(workersPerDomain), workerMilliCores);
            addHost("shed", "shed:1");
        }
        clock.advance(8s);
        for (uint64_t number = 0; number < services; ++number) {
            Jobs::JobRecord record = service(firstService + number, tasksOfService);
            record.spec.steps[0].resources.milliCores = 1300;
            record.spec.steps[0].maximumPerWorker = 1;
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
            record.policy.priority = 1;
            record.spec.steps[0].resources.milliCores = between(200, 600);
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
            if (m_allFull)
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
    bool m_allFull = false;
    uint64_t m_shortJobs = 0;
    std::map<Cells::CellId, std::map<Common::JobId, int64_t>> m_open;
};

void loseWorker(uint64_t seed, bool allFull)
{
    CAPTURE(seed);
    BusyCells world(seed, allFull);
    const size_t all = services * tasksOfService;
    REQUIRE(world.runningServiceTasks() == all);
    RunWorker* const lost = world.workerWithServices(2);
    REQUIRE(lost);
    const uint64_t stoppedBefore = world.stoppedRuns();
    const double workBefore = world.stoppedCoreSeconds();
    lost->crash();
    const Common::MonotonicTime lostAt = world.clock.now();
    REQUIRE(world.runningServiceTasks() < all);
    // Nothing of it starts elsewhere while its lease may last.
    const Common::Duration lease = Cells::WorkerLease::onSlowestClock(Cells::CellSettings {}.runLease);
    const Common::MonotonicTime end = lostAt + lease + roomBound;
    while (world.clock.now() < end && world.runningServiceTasks() < all)
        world.offerFor(20ms);
    const auto waited = (world.clock.now() - lostAt - lease) / 1ms;
    MESSAGE("seed ", seed, ": ", waited, " ms after the lease, stopped ", world.stoppedRuns() - stoppedBefore,
        " runs with ", world.stoppedCoreSeconds() - workBefore, " core-seconds");
    CHECK(world.runningServiceTasks() == all);
    CHECK(world.judge.summary() == "");
}

} // namespace

TEST_CASE("long-running tasks of a lost worker run again though short tasks take each free core of the only cell")
{
    for (uint64_t seed = 1; seed <= 8; ++seed)
        loseWorker(seed, false);
}

TEST_CASE("long-running tasks of a lost worker run again though short tasks take each free core of all cells")
{
    for (uint64_t seed = 11; seed <= 16; ++seed)
        loseWorker(seed, true);
}
