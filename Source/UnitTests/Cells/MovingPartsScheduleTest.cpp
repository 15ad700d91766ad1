// Jobs that are larger than their cells, whose parts move between the cells of one domain while owners change and are
// cut from workers and the store loses answers: no task runs twice in the words of rule TWICE.
#include "Cells/CutLinksSchedule.h"

#include <doctest/doctest.h>

#include <set>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr size_t faultCount = 8;
/// One rack, and so one cell, for each four workers.
constexpr uint32_t workersEachCell = 4;
constexpr size_t cells = 3;

struct MovingPartsSchedule : CutLinksSchedule {
    MovingPartsSchedule(uint64_t seed, const std::vector<std::string>& domains, size_t workersEach)
        : CutLinksSchedule(seed, domains, workersEach, workersEachCell)
    {
    }
    /// Jobs of which a cell, with 16 cores, runs some tasks only while others wait.
    void submitWideJobs()
    {
        for (size_t count = 1 + randomBelow(2); count > 0; --count) {
            WorldHost* const host = anyHost();
            if (!host)
                return;
            const uint64_t number = ++jobs;
            const std::string payload = "run:" + std::to_string(300 + randomBelow(4'000));
            submit(*host, job(number, payload, 8 + static_cast<uint32_t>(randomBelow(20)), 1 + randomBelow(2)),
                outcomes[number]);
        }
    }
    /// Writes, those of transfers too, are applied late or without an answer.
    void loseStoreAnswers()
    {
        store.lostPerMille = 100 + randomBelow(400);
        store.latePerMille = randomBelow(300);
        clock.schedule(randomMilliseconds(500, 4'000), [this] { store.lostPerMille = store.latePerMille = 0; });
    }
    void injectFaults()
    {
        if (randomBelow(2) == 0)
            loseStoreAnswers();
        if (randomBelow(4) == 0)
            workers[randomBelow(workers.size())]->restart(randomMilliseconds(50, 2'000));
        switch (randomBelow(4)) {
        case 0:
            drainOwner();
            break;
        case 1:
            restartOwner();
            break;
        default:
            injectSomeFault();
        }
    }
    /// Number of jobs whose tasks ran in several cells.
    size_t movedJobs() const
    {
        std::map<std::string, std::set<Common::RackId>> racks;
        for (const auto& [task, worker] : judge.startedOn) {
            const auto found = std::find_if(workers.begin(), workers.end(),
                [&worker = worker](const auto& row) { return row->entry().id.value() == worker; });
            racks[task.job.value()].insert((*found)->entry().rack);
        }
        return static_cast<size_t>(
            std::count_if(racks.begin(), racks.end(), [](const auto& row) { return row.second.size() > 1; }));
    }
};

} // namespace

// Guards against tasks that run in the cell that gave them away and in the one that took them.
TEST_CASE("no task runs twice, and every accepted job ends, although parts move between cells with changing owners")
{
    size_t moved = 0;
    uint64_t starts = 0;
    size_t afterIdleLapses = 0;
    const SeedRange seeds = SeedRange::fromEnvironment();
    const std::set<uint64_t> known = seeds.chosen ? std::set<uint64_t> {} : knownFailures(__FILE__);
    uint64_t next = seeds.first;
    forEachSeed<MovingPartsSchedule>({ "yard" }, cells * workersEachCell, [&](MovingPartsSchedule& schedule) {
        const uint64_t seed = next++;
        if (known.contains(seed)) {
            MESSAGE("seed " << seed << " is a known failure and isn't run");
            return;
        }
        for (size_t fault = 0; fault < faultCount; ++fault) {
            schedule.submitWideJobs();
            schedule.submitSomeJobs();
            schedule.clock.advance(schedule.randomMilliseconds(0, 1'000));
            schedule.injectFaults();
            schedule.clock.advance(schedule.randomMilliseconds(0, 1'500));
        }
        schedule.clock.advance(4s);
        schedule.endFaults();
        schedule.clock.advance(50s);
        // All hosts are in touch now.
        schedule.notePhases();
        schedule.clock.advance(2s);
        CHECK(schedule.judge.twice.summary() == "");
        CHECK(schedule.unfinishedJobs() == "");
        moved += schedule.movedJobs();
        starts += schedule.judge.starts;
        afterIdleLapses += schedule.judge.twiceDespiteIdleLapses.faults.size();
    });
    MESSAGE("jobs in several cells: " << moved << ", starts: " << starts
                                      << ", breaches if lapses that end no run excuse nothing: " << afterIdleLapses);
    if (!seeds.chosen) {
        CHECK(moved > 0);
        CHECK(starts > 0);
    }
}
