// Tests of long-running tasks that have lost their run in a cell that can't make room for them, while other cells can.
#include "Cells/CellWorld.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t spreadService = 1;
constexpr uint64_t firstFillingService = 10;
constexpr uint64_t firstShortJob = 1000;
constexpr int64_t workerMilliCores = 4000;
constexpr size_t workersOfCell = 5;
constexpr int64_t serviceMilliCores = 1300;
constexpr int64_t serviceMegabytes = 20'000;
constexpr int64_t fillingMegabytes = 90'000;
constexpr int leastMilliCores = 200;
constexpr int mostMilliCores = 600;
constexpr uint64_t mostStopsForTask = (serviceMilliCores + leastMilliCores - 1) / leastMilliCores;
/// The users' rule LOST counts from 6 s after a task's last run.
constexpr Common::Duration lostBound = 6s;
constexpr uint32_t mostTransfersOfTask = 2;

/// Ordinary tasks of a cell.
struct ShortTasks {
    uint32_t priority = 1;
    /// How many times as long as usual they run.
    int stretch = 1;
    int64_t memoryMegabytes = 100;
};

/// Cells full of short tasks; a service runs in the first one. Other services fill the memory of further cells, most of
/// whose processor time is free.
struct FullCells : CellWorld {
    std::vector<std::string> domains { "yard", "shed", "barn" };
    std::vector<std::string> fullOfServices;
    const Cells::CellId home { "yard-0" };

    FullCells(
        uint64_t seed, const ShortTasks& atHome, const ShortTasks& elsewhere, std::vector<std::string> ofServices = {})
        : CellWorld(seed)
        , fullOfServices(std::move(ofServices))
        , m_random(seed)
        , m_atHome(atHome)
        , m_elsewhere(elsewhere)
    {
        for (const std::string& domain : domains)
            addWorkers(domain, workersOfCell, workerMilliCores);
        for (const char* const name : { "yard:1", "yard:2" })
            addHost("yard", name);
        addHost("shed", "shed:1");
        addHost("barn", "barn:1");
        for (const std::string& domain : fullOfServices) {
            addWorkers(domain, workersOfCell, workerMilliCores);
            addHost(domain, domain + ":1");
        }
        clock.advance(8s);
        for (size_t number = 0; number < fullOfServices.size(); ++number) {
            Jobs::JobRecord record = service(firstFillingService + number, workersOfCell);
            record.spec.steps[0].resources.memoryMegabytes = fillingMegabytes;
            record.spec.steps[0].maximumPerWorker = 1;
            submitTo(Cells::CellId(fullOfServices[number] + "-0"), record);
        }
    }
    void serve(uint32_t tasks, uint32_t maximumPerWorker)
    {
        Jobs::JobRecord record = service(spreadService, tasks);
        record.spec.steps[0].resources.milliCores = serviceMilliCores;
        record.spec.steps[0].resources.memoryMegabytes = serviceMegabytes;
        record.spec.steps[0].maximumPerWorker = maximumPerWorker;
        record.policy.priority = 1;
        submitTo(home, record);
        clock.advance(1s);
        m_tasks = tasks;
        REQUIRE(running() == tasks);
        offerFor(12s);
        REQUIRE(running() == tasks);
        REQUIRE(transfers() == 0);
    }
    size_t running() const { return judge.running(jobId(spreadService)); }
    uint32_t tasks() const { return m_tasks; }
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
    /// Keeps more short tasks waiting in each cell than its workers hold.
    void offerFor(Common::Duration span)
    {
        const Common::MonotonicTime end = clock.now() + span;
        while (clock.now() < end) {
            for (const std::string& domain : domains)
                offer(Cells::CellId(domain + "-0"));
            clock.advance(20ms);
        }
    }
    struct Loss {
        uint32_t tasks = 0;
        /// How long after the end of the worker's lease, at the latest, all tasks ran again.
        Common::Duration waited {};
    };
    /// A worker with tasks of the service goes for good. Waits until they run again, but no longer than `most`.
    Loss loseWorker(Common::Duration most)
    {
        const auto lost = std::find_if(workers.begin(), workers.end(), [this](const auto& worker) {
            return std::any_of(judge.startedOn.begin(), judge.startedOn.end(), [&](const auto& row) {
                return row.first.job == jobId(spreadService) && row.second == worker->entry().id.value();
            });
        });
        REQUIRE(lost != workers.end());
        (*lost)->crash();
        Loss loss { static_cast<uint32_t>(m_tasks - running()), {} };
        REQUIRE(loss.tasks > 0);
        // Its host may have renewed the lease until the last poll counted as unanswered.
        const Cells::CellSettings settings;
        offerFor(Cells::WorkerLease::onSlowestClock(settings.runLease) + settings.pollWait);
        const Common::MonotonicTime leaseEnd = clock.now();
        while (clock.now() - leaseEnd < most && running() < m_tasks)
            offerFor(20ms);
        loss.waited = clock.now() - leaseEnd;
        return loss;
    }
    /// Transfers of tasks of the service, from all cells.
    uint32_t transfers()
    {
        uint32_t count = 0;
        std::vector<std::string> all = domains;
        all.insert(all.end(), fullOfServices.begin(), fullOfServices.end());
        for (const std::string& domain : all) {
            const auto record = store.value(Cells::StoreKeys::job(Cells::CellId(domain + "-0"), jobId(spreadService)));
            const auto decoded
                = record ? Jobs::JobRecord::decode(*record) : Common::Result<Jobs::JobRecord>(Common::Failure {});
            count += decoded ? decoded->transfersSent : 0;
        }
        return count;
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
    void offer(const Cells::CellId& cell)
    {
        const ShortTasks& load = cell == home ? m_atHome : m_elsewhere;
        std::map<Common::JobId, int64_t>& open = m_open[cell];
        std::erase_if(open, [this](const auto& row) { return judge.wasDone({ row.first, 0, 0, 0 }); });
        int64_t offered = 0;
        for (const auto& [id, milliCores] : open)
            offered += milliCores;
        while (offered < static_cast<int64_t>(workersOfCell) * workerMilliCores) {
            const int run = between(3000, 9000) * load.stretch;
            Jobs::JobRecord record = job(firstShortJob + m_shortJobs++, "run:" + std::to_string(run), 1);
            record.policy.priority = load.priority;
            record.spec.steps[0].resources.milliCores = between(leastMilliCores, mostMilliCores);
            record.spec.steps[0].resources.memoryMegabytes = load.memoryMegabytes;
            record.spec.steps[0].estimate = std::chrono::milliseconds(run * between(5, 20) / 10);
            open[record.id] = record.spec.steps[0].resources.milliCores;
            offered += record.spec.steps[0].resources.milliCores;
            submitTo(cell, record);
        }
    }

    std::mt19937_64 m_random;
    ShortTasks m_atHome;
    ShortTasks m_elsewhere;
    uint32_t m_tasks = 0;
    uint64_t m_shortJobs = 0;
    std::map<Cells::CellId, std::map<Common::JobId, int64_t>> m_open;
};

constexpr Common::Duration longestLook = 60s;

void expectRunsAgain(FullCells& world)
{
    const FullCells::Loss loss = world.loseWorker(longestLook);
    CAPTURE(loss.waited / 1ms);
    CAPTURE(world.stoppedCoreSeconds());
    CHECK(loss.waited < lostBound);
    CHECK(world.running() == world.tasks());
    CHECK(world.stoppedRuns() <= loss.tasks * mostStopsForTask);
    const uint64_t stopped = world.stoppedRuns();
    world.offerFor(5s);
    CHECK(world.transfers() <= loss.tasks * mostTransfersOfTask);
    CHECK(world.stoppedRuns() == stopped);
    CHECK(world.running() == world.tasks());
    CHECK(world.judge.summary() == "");
}

} // namespace

// Guards against LOST (issue 52) while cells on whose workers the step has no task are full of what may be stopped.
TEST_CASE("a task runs again soon although each worker of its cell has a task of its step and all cells are full")
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        FullCells world(seed, {}, {});
        world.serve(workersOfCell, 1);
        expectRunsAgain(world);
    }
}

// Guards against LOST (issue 52) in a cell that reserves room by ends, while others could stop what is worth less.
TEST_CASE("a task runs again soon although its cell is full of what may not be stopped for it")
{
    for (uint64_t seed = 11; seed <= 18; ++seed) {
        CAPTURE(seed);
        FullCells world(seed, { .priority = 0, .stretch = 8 }, {});
        world.serve(workersOfCell, 0);
        expectRunsAgain(world);
    }
}

// Guards against tasks that go through all cells that show free processor time and have no memory for them.
TEST_CASE("a task isn't passed through cells that can't run it while another cell can make room")
{
    for (uint64_t seed = 21; seed <= 26; ++seed) {
        CAPTURE(seed);
        const ShortTasks large { .stretch = 8, .memoryMegabytes = 30'000 };
        FullCells world(seed, {}, large, { "loft", "mill", "pier", "quay", "tower" });
        world.serve(workersOfCell, 1);
        expectRunsAgain(world);
    }
}
