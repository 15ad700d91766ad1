// Tests of large tasks in a cell whose workers an endless stream of small short tasks keeps full.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <list>
#include <random>
#include <set>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t largeJob = 1;
constexpr uint64_t firstSmallJob = 1000;
constexpr int64_t workerMilliCores = 4000;
constexpr int64_t largeMilliCores = 1400;
constexpr int longestSmallRun = 4000;
/// From the submission of a large task to its start.
constexpr Common::Duration startBound = 6s + std::chrono::milliseconds(longestSmallRun);

/// One cell; `offer` keeps half as much again open in small tasks as its workers hold.
struct BusyCell : Fleet {
    explicit BusyCell(uint64_t seed)
        : Fleet(seed)
        , m_random(seed)
    {
        offerFor(12s);
    }
    void submitToOwner(Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        WorldHost* const host = owner();
        REQUIRE(host);
        host->cellOwnership.engines().begin()->second->submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// Submits small jobs as earlier ones end.
    void offer()
    {
        std::erase_if(m_open, [this](const auto& row) {
            for (uint32_t index = 0; index < row.tasks; ++index) {
                if (!judge.wasDone({ row.job, 0, 0, index }))
                    return false;
            }
            return true;
        });
        int64_t offered = 0;
        for (const auto& row : m_open)
            offered += row.milliCores;
        const auto capacity = static_cast<int64_t>(workers.size()) * workerMilliCores;
        while (offered < capacity + capacity / 2) {
            const int run = between(2000, longestSmallRun);
            const auto tasks = static_cast<uint32_t>(between(1, 4));
            Jobs::JobRecord record = job(firstSmallJob + m_smallJobs++, "run:" + std::to_string(run), tasks);
            record.spec.steps[0].resources.milliCores = between(100, 400);
            record.spec.steps[0].estimate = std::chrono::milliseconds(run * between(4, 25) / 10);
            m_open.push_back({ record.id, tasks, record.spec.steps[0].resources.milliCores * tasks });
            offered += m_open.back().milliCores;
            submitToOwner(record);
        }
    }
    void offerFor(Common::Duration span)
    {
        const Common::MonotonicTime end = clock.now() + span;
        while (clock.now() < end) {
            offer();
            clock.advance(20ms);
        }
    }
    /// Time until as many tasks of the job have started; empty if they haven't within `most`.
    std::optional<Common::Duration> waitForStarts(uint64_t number, size_t tasks, Common::Duration most)
    {
        const Common::MonotonicTime began = clock.now();
        while (clock.now() - began <= most) {
            if (startsOf(number) >= tasks)
                return clock.now() - began;
            offerFor(20ms);
        }
        return std::nullopt;
    }
    size_t startsOf(uint64_t number) const
    {
        return static_cast<size_t>(std::count_if(judge.startedOn.begin(), judge.startedOn.end(),
            [&](const auto& row) { return row.first.job == jobId(number); }));
    }
    uint64_t smallJobs() const { return m_smallJobs; }

private:
    struct SmallJob {
        Common::JobId job;
        uint32_t tasks = 0;
        int64_t milliCores = 0;
    };
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }

    std::mt19937_64 m_random;
    uint64_t m_smallJobs = 0;
    std::list<SmallJob> m_open;
};

Jobs::JobRecord large(Jobs::JobRecord record)
{
    record.spec.steps[0].resources.milliCores = largeMilliCores;
    return record;
}

} // namespace

TEST_CASE("a long-running task of a third of a worker starts though small tasks take each free core")
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        BusyCell world(seed);
        world.submitToOwner(large(CellWorld::service(largeJob, 1)));
        CHECK(world.waitForStarts(largeJob, 1, startBound));
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("an ordinary task of a third of a worker starts though small tasks take each free core")
{
    for (uint64_t seed = 11; seed <= 18; ++seed) {
        CAPTURE(seed);
        BusyCell world(seed);
        world.submitToOwner(large(CellWorld::job(largeJob, "run:1000", 1)));
        CHECK(world.waitForStarts(largeJob, 1, startBound));
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("several large long-running tasks of one step don't each wait for the whole delay")
{
    for (uint64_t seed = 21; seed <= 24; ++seed) {
        CAPTURE(seed);
        constexpr size_t tasks = 5;
        BusyCell world(seed);
        world.submitToOwner(large(CellWorld::service(largeJob, tasks)));
        CHECK(world.waitForStarts(largeJob, tasks, 1s + tasks * std::chrono::milliseconds(longestSmallRun + 500)));
        CHECK(world.judge.summary() == "");
    }
}
