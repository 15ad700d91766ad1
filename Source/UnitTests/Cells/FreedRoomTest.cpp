// Tests of room that becomes free in one cell of a full fleet while long-running tasks that have lost their run wait in
// other cells.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr size_t domains = 20;
constexpr size_t homes = 5;
constexpr size_t workersEach = 4;
constexpr uint32_t tasksOfWorker = 4;
constexpr int64_t taskMilliCores = 1000;
constexpr uint64_t firstService = 1;
constexpr uint64_t firstFilling = 100;
/// Services of one task in each cell other than the homes.
constexpr uint64_t firstSingle = 1000;
constexpr size_t singlesEach = 4;
constexpr size_t singlesFreed = 10;
/// The users' rule LOST counts tasks that don't run although there has been room for them, twice over, for this long.
constexpr Common::Duration longestBesideRoom = 3s;
constexpr Common::Duration lookInterval = 50ms;

/// One cell each in 20 domains, all full of long-running tasks. Some cells lose a worker for good, so that each step of
/// theirs has tasks for which no cell has room.
struct FullFleet : CellWorld {
    std::mt19937_64 random;
    /// The longest time in which tasks waited beside room for two of them, without a break.
    Common::Duration besideRoom {};

    explicit FullFleet(uint64_t seed)
        : CellWorld(seed)
        , random(seed)
    {
        for (size_t number = 0; number < domains; ++number) {
            addWorkers(domain(number), workersEach, tasksOfWorker * taskMilliCores);
            addHost(domain(number), domain(number) + ":1");
        }
        clock.advance(8s);
        for (size_t number = 0; number < domains; ++number) {
            uint32_t filling = workersEach * tasksOfWorker;
            if (number < homes) {
                filling -= workersEach;
                Jobs::JobRecord record = service(firstService + number, workersEach);
                record.spec.steps[0].maximumPerWorker = 1;
                submitTo(number, record);
            }
            for (size_t single = 0; number >= homes && single < singlesEach; ++single, --filling)
                submitTo(number, service(singleOf(number, single), 1));
            submitTo(number, service(firstFilling + number, filling));
        }
        clock.advance(2s);
        REQUIRE(running() == domains * workersEach * tasksOfWorker);
    }
    static uint64_t singleOf(size_t number, size_t single) { return firstSingle + number * singlesEach + single; }
    static std::string domain(size_t number) { return "zone" + std::to_string(10 + number); }
    Cells::CellEngine* engine(size_t number)
    {
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const found = host->cellOwnership.engine(Cells::CellId(domain(number) + "-0")))
                return found;
        }
        return nullptr;
    }
    void submitTo(size_t number, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        Cells::CellEngine* const owner = engine(number);
        REQUIRE(owner);
        owner->submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// A worker of each home goes for good; waits until their leases have passed.
    void loseWorkers()
    {
        for (size_t number = 0; number < homes; ++number)
            workers[number * workersEach]->crash();
        const Cells::CellSettings settings;
        look(Cells::WorkerLease::onSlowestClock(settings.runLease) + settings.pollWait);
    }
    /// Ends a service, all of whose tasks run in the cell.
    void end(size_t number, uint64_t serviceNumber)
    {
        const Common::JobId id = jobId(serviceNumber);
        engine(number)->cancel(id, [](const Common::Result<Common::Done>&) {});
        m_ended.push_back(id);
    }
    /// Room for one task becomes free now and then, each time in another cell.
    void freeSingles()
    {
        for (size_t single = 0; single < singlesFreed; ++single) {
            const size_t number = homes + (single * 7 + random() % 3) % (domains - homes);
            end(number, singleOf(number, single % singlesEach));
            look(std::chrono::milliseconds(1000 + random() % 1000));
        }
    }
    /// Tasks of services that don't run.
    size_t waiting() const
    {
        size_t count = 0;
        for (const auto& [id, spec] : judge.submitted) {
            const bool hasEnded = std::find(m_ended.begin(), m_ended.end(), id) != m_ended.end();
            if (spec.steps[0].longRunning && !hasEnded)
                count += spec.steps[0].taskCount - judge.running(id);
        }
        return count;
    }
    /// Tasks that fit on the workers, other than those that went.
    size_t room() const
    {
        size_t count = 0;
        for (size_t index = 0; index < workers.size(); ++index) {
            const bool isGone = index % workersEach == 0 && index / workersEach < homes;
            if (!isGone && workers[index]->running() < tasksOfWorker)
                count += tasksOfWorker - workers[index]->running();
        }
        return count;
    }
    void look(Common::Duration span)
    {
        for (const Common::MonotonicTime end = clock.now() + span; clock.now() < end;) {
            clock.advance(lookInterval);
            if (waiting() == 0 || room() < 2)
                m_besideRoomSince = clock.now();
            besideRoom = std::max(besideRoom, clock.now() - m_besideRoomSince);
        }
    }

private:
    std::vector<Common::JobId> m_ended;
    Common::MonotonicTime m_besideRoomSince;
};

} // namespace

// Guards against LOST (issue 58): room that became free in one cell wasn't found by tasks that waited in others.
TEST_CASE("long-running tasks that have waited for long run soon after room has become free in another cell")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        FullFleet world(seed);
        world.loseWorkers();
        REQUIRE(world.waiting() == homes * tasksOfWorker);
        world.freeSingles();
        world.look(std::chrono::seconds(5 + world.random() % 5));
        CHECK(world.besideRoom < longestBesideRoom);
        const size_t freed = homes + world.random() % (domains - homes);
        world.end(freed, firstFilling + freed);
        world.look(15s);
        CAPTURE(world.besideRoom / 1ms);
        CHECK(world.besideRoom < longestBesideRoom);
        CHECK(world.waiting() == 0);
        CHECK(world.judge.summary() == "");
    }
}
