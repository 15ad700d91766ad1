// Tests of free room that a cell keeps for long-running tasks that wait in other cells, and of its end.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t tasksOfWorker = 4;
constexpr int64_t taskMilliCores = 1000;
constexpr int64_t workerMilliCores = tasksOfWorker * taskMilliCores;
constexpr uint64_t firstService = 1;
constexpr uint64_t firstFilling = 100;
constexpr uint64_t firstShortJob = 1000;
constexpr Common::Duration lookInterval = 10ms;
/// The users' rule LOST counts tasks that don't run although there has been room for them, twice over, for this long.
constexpr Common::Duration longestBesideRoom = 3s;
/// CellEngineOffers.cpp: how long room is kept until the answer of the cell that was offered it.
constexpr Common::Duration answerSpan = 600ms;
constexpr Common::Duration arrivalSpan = 2s;
/// What a call and its answer take at most.
constexpr Common::Duration exchange = 50ms;

/// Domains with one cell and one host each.
struct CellEach : CellWorld {
    explicit CellEach(uint64_t seed, const std::vector<size_t>& workersOf)
        : CellWorld(seed)
        , random(seed)
    {
        for (size_t number = 0; number < workersOf.size(); ++number) {
            firstWorker.push_back(workers.size());
            addWorkers(domain(number), workersOf[number], workerMilliCores);
            addHost(domain(number), address(number));
        }
        firstWorker.push_back(workers.size());
        clock.advance(8s);
    }
    static std::string domain(size_t number) { return "zone" + std::to_string(10 + number); }
    static std::string address(size_t number) { return domain(number) + ":1"; }
    static Cells::CellId cell(size_t number) { return Cells::CellId(domain(number) + "-0"); }
    WorldHost& owner(size_t number)
    {
        const std::vector<WorldHost*> found = live();
        const auto host = std::find_if(found.begin(), found.end(),
            [number](WorldHost* other) { return other->cellOwnership.engine(cell(number)) != nullptr; });
        REQUIRE(host != found.end());
        return **host;
    }
    Cells::CellEngine& engine(size_t number) { return *owner(number).cellOwnership.engine(cell(number)); }
    void submitTo(size_t number, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        engine(number).submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// Ends a job of the cell.
    void end(size_t number, uint64_t job)
    {
        engine(number).cancel(jobId(job), [](const Common::Result<Common::Done>&) {});
    }
    /// Cuts the owners of two cells off from each other.
    void cutOwners(size_t a, size_t b)
    {
        const std::string first = owner(a).address;
        const std::string second = owner(b).address;
        REQUIRE(first != second);
        network.cut(first, second);
        network.cut(second, first);
    }
    void loseWorkers(size_t number, size_t count)
    {
        for (size_t index = 0; index < count; ++index)
            workers[firstWorker[number] + index]->crash();
    }
    static Common::Duration leaseSpan()
    {
        const Cells::CellSettings settings;
        return Cells::WorkerLease::onSlowestClock(settings.runLease) + settings.pollWait;
    }
    /// Tasks that fit on the cell's workers.
    size_t room(size_t number) const
    {
        size_t count = 0;
        for (size_t index = firstWorker[number]; index < firstWorker[number + 1]; ++index) {
            if (workers[index]->up() && workers[index]->running() < tasksOfWorker)
                count += tasksOfWorker - workers[index]->running();
        }
        return count;
    }
    /// How many workers of the cell, by its load, have room for so many tasks, that isn't kept for others.
    size_t workersWithRoom(size_t number, uint32_t tasks)
    {
        const std::vector<int64_t> free = engine(number).load().largestFreeMilliCores;
        return static_cast<size_t>(std::count_if(free.begin(), free.end(),
            [tasks](int64_t milliCores) { return milliCores >= static_cast<int64_t>(tasks) * taskMilliCores; }));
    }
    /// Room for tasks on the cell's workers that is kept, while no order is on its way.
    size_t kept(size_t number)
    {
        const Cells::CellLoad load = engine(number).load();
        int64_t open = 0;
        for (const int64_t milliCores : load.largestFreeMilliCores)
            open += std::max<int64_t>(0, milliCores);
        return static_cast<size_t>((load.freeMilliCores - open) / taskMilliCores);
    }
    /// Tasks of the service that don't run.
    size_t missing(uint64_t number) const
    {
        const Common::JobId id = jobId(number);
        return judge.submitted.at(id).steps[0].taskCount - judge.running(id);
    }

    std::mt19937_64 random;
    std::vector<size_t> firstWorker;
};

/// Cells whose services and fillings leave no room; two of them, 0 and 1, lose one of their two workers for good, and
/// the tasks of their services wait.
struct TwoThatWait : CellEach {
    static constexpr size_t giver = 2;

    TwoThatWait(uint64_t seed, size_t giverWorkers, uint32_t single)
        : CellEach(seed, { 2, 2, giverWorkers })
    {
        for (size_t number = 0; number < 2; ++number) {
            submitTo(number, service(firstService + number, 2 * tasksOfWorker));
            clock.advance(500ms);
        }
        const auto all = static_cast<uint32_t>(giverWorkers * tasksOfWorker);
        if (single > 0)
            submitTo(giver, service(firstFilling + 1, single));
        submitTo(giver, service(firstFilling, all - single));
        clock.advance(2s);
        REQUIRE(running() == workers.size() * tasksOfWorker);
        loseWorkers(0, 1);
        clock.advance(700ms);
        loseWorkers(1, 1);
        clock.advance(leaseSpan() + 1500ms);
        REQUIRE(missing(firstService) == tasksOfWorker);
        REQUIRE(missing(firstService + 1) == tasksOfWorker);
    }
};

/// 20 full cells, five of which lose a worker. In the others, short tasks of a higher priority come and go, so that
/// room for one task is free for moments only.
struct MomentsOfRoom : CellEach {
    static constexpr size_t domains = 20;
    static constexpr size_t homes = 5;
    static constexpr size_t workersEach = 4;
    static constexpr size_t streamsEach = 2;

    /// The longest time in which a task waited beside room for two, without a break.
    Common::Duration besideRoom {};
    std::map<Jobs::TaskName, Common::MonotonicTime> waitsSince;

    explicit MomentsOfRoom(uint64_t seed)
        : CellEach(seed, std::vector<size_t>(domains, workersEach))
    {
        for (size_t number = 0; number < domains; ++number) {
            const uint32_t filling = workersEach * tasksOfWorker - (number < homes ? 0 : streamsEach);
            Jobs::JobRecord record = service(number < homes ? firstService + number : firstFilling + number, filling);
            record.policy.priority = 1;
            submitTo(number, record);
        }
        clock.advance(2s);
        for (size_t number = homes; number < domains; ++number)
            m_streams.insert(m_streams.end(), streamsEach, Stream { number, {}, clock.now() });
        look(3s);
        for (size_t number = 0; number < homes; ++number)
            REQUIRE(missing(firstService + number) == 0);
        for (size_t number = 0; number < homes; ++number)
            loseWorkers(number, 1);
        look(leaseSpan());
    }
    size_t waiting() const
    {
        size_t count = 0;
        for (size_t number = 0; number < homes; ++number)
            count += missing(firstService + number);
        return count;
    }
    /// Counts looks with room for two from the end of the leases on.
    void watch(Common::Duration span)
    {
        m_watches = true;
        look(span);
    }

private:
    struct Stream {
        size_t cell = 0;
        std::optional<Common::JobId> job;
        Common::MonotonicTime nextAt;
    };

    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); }
    void look(Common::Duration span)
    {
        for (const Common::MonotonicTime end = clock.now() + span; clock.now() < end;) {
            clock.advance(lookInterval);
            for (Stream& stream : m_streams)
                feed(stream);
            if (m_watches)
                watchOnce();
        }
    }
    void feed(Stream& stream)
    {
        if (stream.job) {
            if (!judge.wasDone({ *stream.job, 0, 0, 0 }))
                return;
            stream.job.reset();
            stream.nextAt = clock.now() + std::chrono::milliseconds(between(100, 500));
        }
        if (clock.now() < stream.nextAt)
            return;
        const int run = between(600, 1200);
        Jobs::JobRecord record = job(firstShortJob + m_shortJobs++, "run:" + std::to_string(run), 1);
        record.policy.priority = 0;
        record.spec.steps[0].estimate = std::chrono::milliseconds(run);
        stream.job = record.id;
        submitTo(stream.cell, record);
    }
    void watchOnce()
    {
        size_t all = 0;
        for (size_t number = 0; number < domains; ++number)
            all += room(number);
        for (size_t number = 0; number < homes; ++number) {
            for (uint32_t index = 0; index < workersEach * tasksOfWorker; ++index) {
                const Jobs::TaskName task { jobId(firstService + number), 0, 0, index };
                if (judge.running(task) || all < 2) {
                    waitsSince.erase(task);
                    continue;
                }
                const Common::MonotonicTime since = waitsSince.emplace(task, clock.now()).first->second;
                besideRoom = std::max(besideRoom, clock.now() - since);
            }
        }
    }

    std::vector<Stream> m_streams;
    uint64_t m_shortJobs = 0;
    bool m_watches = false;
};

} // namespace

// Guards against LOST (issue 58): short tasks of the cell took the room before a task of another cell arrived.
TEST_CASE("room that is free for moments goes to tasks of other cells that have lost their run")
{
    for (uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        MomentsOfRoom world(seed);
        REQUIRE(world.waiting() > 0);
        world.watch(12s);
        CAPTURE(world.besideRoom / 1ms);
        CHECK(world.besideRoom < longestBesideRoom);
        CHECK(world.waiting() == 0);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("room that was promised to a cell whose answer never comes goes to another")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        TwoThatWait world(seed, 4, 1);
        const bool isKilled = seed % 2 == 0;
        CAPTURE(isKilled);
        REQUIRE(&world.owner(0) != &world.owner(1));
        REQUIRE(&world.owner(0) != &world.owner(TwoThatWait::giver));
        if (isKilled)
            world.owner(0).process.kill();
        else
            world.cutOwners(0, TwoThatWait::giver);
        world.end(TwoThatWait::giver, firstFilling + 1);
        Common::Duration longestKept {};
        Common::MonotonicTime lastOpen = world.clock.now();
        const Common::MonotonicTime start = world.clock.now();
        while (world.clock.now() - start < longestBesideRoom && world.missing(firstService + 1) == tasksOfWorker) {
            world.clock.advance(lookInterval);
            if (world.kept(TwoThatWait::giver) == 0)
                lastOpen = world.clock.now();
            longestKept = std::max(longestKept, world.clock.now() - lastOpen);
        }
        CAPTURE(longestKept / 1ms);
        CHECK(longestKept > 0ms);
        // Tasks may be on their way although the answer is lost.
        CHECK(longestKept <= answerSpan + arrivalSpan + exchange);
        CHECK(world.missing(firstService + 1) == tasksOfWorker - 1);
        world.clock.advance(5s);
        CHECK(world.kept(TwoThatWait::giver) == 0);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("room is kept on a quarter of a cell's workers at most")
{
    constexpr size_t giverWorkers = 8;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        TwoThatWait world(seed, giverWorkers, 0);
        // What is promised isn't used, so what isn't kept stays free.
        world.cutOwners(0, TwoThatWait::giver);
        world.cutOwners(1, TwoThatWait::giver);
        world.end(TwoThatWait::giver, firstFilling);
        size_t leastOpen = giverWorkers;
        bool hasAllRoom = false;
        for (const Common::MonotonicTime end = world.clock.now() + 2s; world.clock.now() < end;) {
            world.clock.advance(lookInterval);
            hasAllRoom = hasAllRoom || world.room(TwoThatWait::giver) == giverWorkers * tasksOfWorker;
            if (hasAllRoom && world.engine(TwoThatWait::giver).load().freeMilliCores == giverWorkers * workerMilliCores)
                leastOpen = std::min(leastOpen, world.workersWithRoom(TwoThatWait::giver, tasksOfWorker));
        }
        CHECK(hasAllRoom);
        CHECK(leastOpen < giverWorkers);
        CHECK(leastOpen >= giverWorkers - giverWorkers / 4);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a promise to a job that has been cancelled is declined, and the room is free again")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        TwoThatWait world(seed, 4, 2);
        world.end(0, firstService);
        world.end(1, firstService + 1);
        world.end(TwoThatWait::giver, firstFilling + 1);
        Common::Duration longestKept {};
        Common::MonotonicTime lastOpen = world.clock.now();
        for (const Common::MonotonicTime end = world.clock.now() + 3s; world.clock.now() < end;) {
            world.clock.advance(lookInterval);
            if (world.kept(TwoThatWait::giver) == 0)
                lastOpen = world.clock.now();
            longestKept = std::max(longestKept, world.clock.now() - lastOpen);
        }
        CAPTURE(longestKept / 1ms);
        CHECK(longestKept <= 4 * exchange);
        CHECK(world.workersWithRoom(TwoThatWait::giver, 1) > 0);
        CHECK(world.room(TwoThatWait::giver) == 2);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a promise to tasks that have started meanwhile is declined, and the room is free again")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        TwoThatWait world(seed, 4, 2);
        // Workers with room for all come back to both cells shortly before the room is free.
        for (size_t number = 0; number < 2; ++number)
            world.workers[world.firstWorker[number]]->restart(10ms);
        world.clock.advance(std::chrono::milliseconds(10 * (world.random() % 150)));
        world.end(TwoThatWait::giver, firstFilling + 1);
        Common::Duration longestKept {};
        Common::MonotonicTime lastOpen = world.clock.now();
        for (const Common::MonotonicTime end = world.clock.now() + 6s; world.clock.now() < end;) {
            world.clock.advance(lookInterval);
            if (world.kept(TwoThatWait::giver) == 0)
                lastOpen = world.clock.now();
            longestKept = std::max(longestKept, world.clock.now() - lastOpen);
        }
        CAPTURE(longestKept / 1ms);
        CHECK(longestKept <= answerSpan);
        CHECK(world.kept(TwoThatWait::giver) == 0);
        CHECK(world.missing(firstService) == 0);
        CHECK(world.missing(firstService + 1) == 0);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a step with one task on a worker at most gets room on several workers")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        CellEach world(seed, { 4, 12 });
        Jobs::JobRecord spread = CellWorld::service(firstService, 4);
        spread.spec.steps[0].maximumPerWorker = 1;
        world.submitTo(0, spread);
        world.clock.advance(500ms);
        world.submitTo(0, CellWorld::service(firstFilling, 12));
        world.submitTo(1, CellWorld::service(firstFilling + 1, 48));
        world.clock.advance(2s);
        REQUIRE(world.running() == 64);
        world.end(0, firstFilling);
        world.loseWorkers(0, 3);
        world.clock.advance(CellEach::leaseSpan() + 1500ms);
        REQUIRE(world.missing(firstService) == 3);
        world.end(1, firstFilling + 1);
        world.clock.advance(longestBesideRoom);
        CHECK(world.missing(firstService) == 0);
        std::set<std::string> used;
        for (uint32_t index = 0; index < 4; ++index)
            used.insert(world.judge.startedOn.at({ CellWorld::jobId(firstService), 0, 0, index }));
        CHECK(used.size() == 4);
        CHECK(world.judge.summary() == "");
    }
}
