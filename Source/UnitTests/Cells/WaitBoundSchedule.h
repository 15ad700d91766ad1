// Random arrivals in cells with workers of several kinds, of which some are lost, and a check of how long steps wait
// while there is room for them. Reproducible by seed.
#pragma once

#include "Cells/RandomSchedule.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace CellTests {

using namespace std::chrono_literals; // NOLINT: only tests include this

/// One to three cells. At first more arrives than fits, a fifth of the workers crashes for good, and racks crash and
/// come back. Then the load falls; from there on `look` checks the waits while less than half of the processor time is
/// in use and tasks of all kinds go on to arrive.
struct WaitBoundSchedule : CellWorld {
    /// What counts as room for a step.
    enum class Room {
        /// Two workers have what it needs free.
        Free,
        /// On two workers more than others wait for, only small tasks that soon end stand in its way. For large tasks
        /// only.
        FreeSoon,
    };
    static constexpr Common::Duration longestWait = 11s;
    static constexpr Common::Duration longestWaitOfLasting = 9s;
    static constexpr Common::Duration lookInterval = 100ms;
    static constexpr Common::Duration faultInterval = 8s;
    static constexpr size_t sufficientWorkers = 2;
    static constexpr size_t longestTaskMilliseconds = 3000;
    static constexpr int64_t busyPercent = 120;
    static constexpr size_t smallJobsAtOnce = 6;
    static constexpr const char* label = "disk";

    std::mt19937_64 random;
    std::vector<std::string> domains;
    std::map<uint64_t, std::optional<Common::Result<Common::Done>>> outcomes;
    std::set<uint64_t> cancelled;
    uint64_t jobs = 0;
    /// Waits that were too long, one entry for each.
    std::vector<std::string> tooLong;

    explicit WaitBoundSchedule(uint64_t seed)
        : CellWorld(seed)
        , random(seed * 7919)
    {
        for (const char* const domain : { "yard", "shed", "barn" }) {
            if (domains.empty() || (domains.size() < 3 && randomBelow(2) == 0))
                domains.emplace_back(domain);
        }
        for (const std::string& domain : domains)
            addWorkersOfKinds(domain);
        for (const char* const name : { "a:1", "b:1", "c:1" })
            addHost(domains[hosts.size() % domains.size()], name);
        clock.advance(8s);
    }
    size_t randomBelow(size_t bound) { return random() % bound; }
    template <typename T, size_t count> T oneOf(const std::array<T, count>& values)
    {
        return values[randomBelow(count)];
    }
    void addWorkersOfKinds(const std::string& domain)
    {
        const size_t count = 8 + randomBelow(5);
        for (size_t index = 0; index < count; ++index) {
            Cells::WorkerEntry entry;
            entry.id = Common::WorkerId("w" + std::to_string(workers.size()));
            entry.address = entry.id.value() + ":1";
            entry.service = Common::ServiceName("desk");
            if (index % 3 == 0)
                entry.labels = { label };
            entry.domain = Common::DomainId(domain);
            entry.rack = Common::RackId("r" + std::to_string(index / 3) + "-" + domain);
            entry.capacity = Common::Resources { 0, oneOf(workerMilliCores), oneOf(workerMegabytes), 0 };
            workers.push_back(std::make_unique<RunWorker>(clock, judge, entry));
            Interference& interference = workers.back()->interference.emplace();
            interference.pressures = { { "batch", 1.5 }, { "index", 3 } };
            interference.ownLoad = 0.3 + 0.05 * static_cast<double>(randomBelow(9));
            workerDirectory[entry.address] = workers.back().get();
        }
    }
    void submitRandom(Jobs::JobRecord record)
    {
        submit(*live()[randomBelow(live().size())], std::move(record), outcomes[jobs]);
    }
    Jobs::JobRecord randomJob(const std::string& payload, uint32_t tasks, uint32_t steps, int64_t milliCores)
    {
        Jobs::JobRecord record = job(++jobs, payload, tasks, steps);
        for (Jobs::StepSpec& step : record.spec.steps) {
            step.resources.milliCores = milliCores;
            step.resources.memoryMegabytes = oneOf(taskMegabytes);
            if (randomBelow(5) == 0)
                step.requiredLabel = label;
            if (randomBelow(5) == 0)
                step.maximumPerWorker = 1 + static_cast<uint32_t>(randomBelow(2));
        }
        return record;
    }
    std::string randomPayload() { return "run:" + std::to_string(300 + randomBelow(longestTaskMilliseconds - 300)); }
    void submitOrdinary()
    {
        const auto tasks = 1 + static_cast<uint32_t>(randomBelow(5));
        const auto steps = 1 + static_cast<uint32_t>(randomBelow(3));
        submitRandom(randomJob(randomPayload(), tasks, steps, oneOf(smallMilliCores)));
    }
    void submitLarge()
    {
        submitRandom(randomJob(randomPayload(), 1 + static_cast<uint32_t>(randomBelow(2)), 1, oneOf(largeMilliCores)));
    }
    void submitSmallLabelled()
    {
        Jobs::JobRecord record
            = randomJob(randomPayload(), 1 + static_cast<uint32_t>(randomBelow(3)), 1, oneOf(smallMilliCores));
        record.spec.steps[0].requiredLabel = label;
        record.spec.steps[0].maximumPerWorker = 0;
        submitRandom(std::move(record));
    }
    void submitLargeLabelled()
    {
        Jobs::JobRecord record = randomJob(randomPayload(), 1, 1, oneOf(largeMilliCores));
        Jobs::StepSpec& step = record.spec.steps[0];
        step.requiredLabel = label;
        if (randomBelow(4) == 0) {
            record.spec.payload = "last";
            step.longRunning = true;
        }
        submitRandom(std::move(record));
    }
    void submitBackfill()
    {
        Jobs::JobRecord record = randomJob(randomPayload(), 1 + static_cast<uint32_t>(randomBelow(4)),
            1 + static_cast<uint32_t>(randomBelow(2)), oneOf(backfillMilliCores));
        const std::string image = oneOf(std::array<std::string, 3> { "batch", "index", "sort" });
        for (Jobs::StepSpec& step : record.spec.steps) {
            step.backfill = true;
            step.image = image;
        }
        submitRandom(std::move(record));
    }
    void submitLasting()
    {
        const bool large = randomBelow(4) == 0;
        Jobs::JobRecord record = randomJob("last", 1 + static_cast<uint32_t>(randomBelow(large ? 2 : 5)), 1,
            large ? oneOf(largeMilliCores) : oneOf(smallMilliCores));
        Jobs::StepSpec& step = record.spec.steps[0];
        step.longRunning = true;
        if (randomBelow(4) != 0) {
            step.latencyTarget = 20ms;
            step.image = randomBelow(2) == 0 ? "web" : "mail";
        }
        submitRandom(std::move(record));
    }
    void submitSome()
    {
        switch (randomBelow(6)) {
        case 0:
            submitLasting();
            break;
        case 1:
            submitLarge();
            break;
        case 2:
        case 3:
            submitBackfill();
            break;
        default:
            submitOrdinary();
        }
    }
    /// More than fits, while workers are lost.
    void overload()
    {
        std::vector<RunWorker*> lost;
        for (const auto& worker : workers)
            lost.push_back(worker.get());
        std::shuffle(lost.begin(), lost.end(), random);
        lost.resize(workers.size() / 5);
        for (const Common::MonotonicTime end = clock.now() + 30s; clock.now() < end;) {
            submitSome();
            submitLasting();
            clock.advance(std::chrono::milliseconds(200 + randomBelow(800)));
            if (!lost.empty() && randomBelow(4) == 0) {
                lost.back()->crash();
                m_lost.insert(lost.back());
                lost.pop_back();
            }
            if (randomBelow(20) == 0)
                crashRandomRack();
        }
        for (RunWorker* const worker : lost) {
            worker->crash();
            m_lost.insert(worker);
        }
        clock.advance(faultInterval);
    }
    void crashRandomRack()
    {
        const Common::RackId rack = workers[randomBelow(workers.size())]->entry().rack;
        const auto pause = std::chrono::milliseconds(1000 + randomBelow(6000));
        for (const auto& worker : workers) {
            if (worker->entry().rack == rack && worker->up() && !m_lost.contains(worker.get()))
                worker->restart(pause);
        }
    }
    int64_t capacity() const
    {
        int64_t sum = 0;
        for (const auto& worker : workers)
            sum += worker->up() ? worker->entry().capacity.milliCores : 0;
        return sum;
    }
    int64_t lastingMilliCores() const
    {
        int64_t sum = 0;
        for (const auto& [number, outcome] : outcomes) {
            if (!isExpected(number))
                continue;
            const Jobs::StepSpec& step = judge.submitted.at(jobId(number)).steps[0];
            sum += step.longRunning ? step.taskCount * step.resources.milliCores : 0;
        }
        return sum;
    }
    /// Cancels long-running jobs until the others declare less than this share of the processor time.
    void cancelLasting(double share)
    {
        const auto isTooMuch
            = [&] { return static_cast<double>(lastingMilliCores()) > share * static_cast<double>(capacity()); };
        for (uint64_t number = 1; number <= jobs && isTooMuch(); ++number) {
            if (!isExpected(number) || !judge.submitted.at(jobId(number)).steps[0].longRunning)
                continue;
            cancelled.insert(number);
            live().front()->front.cancel(jobId(number), 2s, [](const Common::Result<Common::Done>&) {});
        }
        clock.advance(4s);
    }
    /// Light arrivals of all kinds, checked. With Room::FreeSoon small tasks keep the workers with the label busy, and
    /// large ones need them too.
    void watch(Common::Duration span, Room room)
    {
        Common::MonotonicTime nextArrival = clock.now();
        Common::MonotonicTime nextLargeLabelled = clock.now() + 5s;
        for (const Common::MonotonicTime end = clock.now() + span; clock.now() < end;) {
            if (clock.now() >= nextArrival) {
                if (randomBelow(3) == 0)
                    submitBackfill();
                else if (randomBelow(6) == 0)
                    submitLarge();
                else if (randomBelow(8) == 0 && 3 * lastingMilliCores() < capacity())
                    submitLasting();
                else
                    submitOrdinary();
                nextArrival = clock.now() + std::chrono::milliseconds(300 + randomBelow(1200));
            }
            if (room == Room::FreeSoon && labelledLoadPercent() < busyPercent) {
                for (size_t count = 0; count < smallJobsAtOnce; ++count)
                    submitSmallLabelled();
            }
            if (room == Room::FreeSoon && clock.now() >= nextLargeLabelled) {
                submitLargeLabelled();
                nextLargeLabelled = clock.now() + std::chrono::milliseconds(4000 + randomBelow(8000));
            }
            clock.advance(lookInterval);
            look(room);
        }
    }
    void look(Room room)
    {
        readUse();
        const bool isHalfFree = 2 * m_inUse < capacity();
        std::set<Jobs::TaskName> seen;
        for (const Waiting& waiting : m_waiting) {
            const bool isChecked = room == Room::Free || isLarge(*waiting.spec);
            if (!isHalfFree || !isChecked || !hasRoom(waiting, room))
                continue;
            seen.insert(waiting.task);
            const Common::MonotonicTime since = m_since.try_emplace(waiting.task, clock.now()).first->second;
            const Common::Duration bound = waiting.spec->longRunning ? longestWaitOfLasting : longestWait;
            if (clock.now() - since > bound && m_reported.insert(waiting.task).second)
                tooLong.push_back(textOf(waiting, clock.now() - since));
        }
        std::erase_if(m_since, [&](const auto& row) { return !seen.contains(row.first); });
    }
    std::string tooLongText() const
    {
        std::string text;
        for (const std::string& wait : tooLong)
            text += wait + "; ";
        return text;
    }

private:
    static constexpr std::array<int64_t, 3> workerMilliCores { 8000, 16000, 32000 };
    static constexpr std::array<int64_t, 3> workerMegabytes { 16'000, 32'000, 64'000 };
    static constexpr std::array<int64_t, 4> taskMegabytes { 100, 500, 1000, 4000 };
    static constexpr std::array<int64_t, 4> smallMilliCores { 250, 500, 1000, 2000 };
    static constexpr std::array<int64_t, 3> largeMilliCores { 6000, 12000, 20000 };
    static constexpr std::array<int64_t, 4> backfillMilliCores { 500, 2000, 6000, 10000 };

    /// What runs on a worker.
    struct Use {
        Common::Resources all;
        /// Without the small tasks that end by themselves.
        Common::Resources lasting;
        /// Number of running tasks by the first task of their step.
        std::map<Jobs::TaskName, uint32_t> ofStep;
    };
    /// A step, named by its first task, or a long-running task that doesn't run.
    struct Waiting {
        Jobs::TaskName task;
        const Jobs::StepSpec* spec;
    };

    bool isExpected(uint64_t number) const
    {
        const auto outcome = outcomes.find(number);
        return outcome != outcomes.end() && outcome->second && outcome->second->hasValue()
            && !cancelled.contains(number);
    }
    static bool isLarge(const Jobs::StepSpec& spec)
    {
        return !spec.backfill && spec.resources.milliCores >= largeMilliCores.front();
    }
    static bool hasLabel(const Cells::WorkerEntry& entry)
    {
        return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
    }
    /// What runs on the workers with the label and the small tasks that wait for them, as a share of their capacity.
    int64_t labelledLoadPercent() const
    {
        int64_t load = 0;
        int64_t all = 0;
        for (const auto& worker : workers) {
            if (!worker->up() || !hasLabel(worker->entry()))
                continue;
            all += worker->entry().capacity.milliCores;
            const auto found = m_use.find(worker->entry().id.value());
            load += found == m_use.end() ? 0 : found->second.all.milliCores;
        }
        for (const Waiting& waiting : m_waiting) {
            const Jobs::StepSpec& spec = *waiting.spec;
            if (!spec.requiredLabel.empty() && !isLarge(spec))
                load += neededFor(spec).milliCores * spec.taskCount;
        }
        return 100 * load / std::max<int64_t>(all, 1);
    }
    /// What a task of the step counts with against a worker's capacity.
    static Common::Resources neededFor(const Jobs::StepSpec& spec)
    {
        Common::Resources needed = spec.resources;
        if (spec.backfill)
            needed.milliCores = 0;
        return needed;
    }
    void readUse()
    {
        m_use.clear();
        m_waiting.clear();
        m_inUse = 0;
        for (uint64_t number = 1; number <= jobs; ++number) {
            if (m_finished.contains(number))
                continue;
            const Common::JobId id = jobId(number);
            const std::vector<Jobs::StepSpec>& steps = judge.submitted.at(id).steps;
            bool mayStart = isExpected(number);
            for (uint32_t step = 0; step < steps.size(); ++step) {
                const bool ended = readStep({ id, 0, step, 0 }, steps[step], mayStart);
                mayStart = mayStart && ended;
            }
            if (mayStart)
                m_finished.insert(number);
        }
    }
    /// Adds the step's runs to the workers' use, and what waits if its turn has come. Returns whether all its tasks
    /// are done.
    bool readStep(const Jobs::TaskName& first, const Jobs::StepSpec& spec, bool mayStart)
    {
        uint32_t done = 0;
        uint32_t running = 0;
        Jobs::TaskName task = first;
        for (task.index = 0; task.index < spec.taskCount; ++task.index) {
            if (judge.running(task)) {
                ++running;
                addRun(task, first, spec);
            } else if (judge.wasDone(task)) {
                ++done;
            } else if (spec.longRunning && mayStart) {
                m_waiting.push_back({ task, &spec });
            }
        }
        if (!spec.longRunning && mayStart && running == 0 && done < spec.taskCount)
            m_waiting.push_back({ first, &spec });
        return done == spec.taskCount;
    }
    void addRun(const Jobs::TaskName& task, const Jobs::TaskName& first, const Jobs::StepSpec& spec)
    {
        Use& use = m_use[judge.startedOn.at(task)];
        const Common::Resources needed = neededFor(spec);
        use.all += needed;
        if (spec.longRunning || spec.backfill || isLarge(spec))
            use.lasting += needed;
        ++use.ofStep[first];
        m_inUse += needed.milliCores;
    }
    bool hasRoomOn(const RunWorker& worker, const Waiting& waiting, Room room) const
    {
        const Cells::WorkerEntry& entry = worker.entry();
        const Jobs::StepSpec& spec = *waiting.spec;
        if (!worker.up() || (!spec.requiredLabel.empty() && !hasLabel(entry)))
            return false;
        Common::Resources free = entry.capacity;
        const auto found = m_use.find(entry.id.value());
        if (found != m_use.end()) {
            Jobs::TaskName first = waiting.task;
            first.index = 0;
            const auto same = found->second.ofStep.find(first);
            if (spec.maximumPerWorker > 0 && same != found->second.ofStep.end()
                && same->second >= spec.maximumPerWorker)
                return false;
            free -= room == Room::Free ? found->second.all : found->second.lasting;
        }
        return Common::fits(neededFor(spec), free);
    }
    bool hasRoom(const Waiting& waiting, Room room) const
    {
        size_t needed = sufficientWorkers;
        if (room == Room::FreeSoon) {
            for (const Waiting& other : m_waiting) {
                if (isLarge(*other.spec) && other.task != waiting.task)
                    needed += other.spec->longRunning ? 1 : other.spec->taskCount;
            }
        }
        const auto count = std::count_if(
            workers.begin(), workers.end(), [&](const auto& worker) { return hasRoomOn(*worker, waiting, room); });
        return static_cast<size_t>(count) >= needed;
    }
    std::string textOf(const Waiting& waiting, Common::Duration waited) const
    {
        const Jobs::StepSpec& spec = *waiting.spec;
        return std::string(spec.longRunning ? "lasting"
                       : spec.backfill      ? "backfill"
                                            : "ordinary")
            + " " + std::to_string(std::stoull(waiting.task.job.value())) + "." + std::to_string(waiting.task.step)
            + "." + std::to_string(waiting.task.index) + " (" + spec.image + " " + spec.requiredLabel + " cores "
            + std::to_string(spec.resources.milliCores) + " memory " + std::to_string(spec.resources.memoryMegabytes)
            + " per worker " + std::to_string(spec.maximumPerWorker) + ") waits for " + std::to_string(waited / 1ms)
            + " ms at " + std::to_string(clock.wallMilliseconds());
    }

    std::set<const RunWorker*> m_lost;
    std::set<uint64_t> m_finished;
    /// By worker.
    std::map<std::string, Use> m_use;
    std::vector<Waiting> m_waiting;
    /// Processor time that counts against the capacity.
    int64_t m_inUse = 0;
    /// Since when there has been room for what waits.
    std::map<Jobs::TaskName, Common::MonotonicTime> m_since;
    std::set<Jobs::TaskName> m_reported;
};

} // namespace CellTests
