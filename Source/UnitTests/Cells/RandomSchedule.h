// A fleet of hosts with random jobs and faults, reproducible by seed.
#pragma once

#include "Cells/CellWorld.h"
#include "Common/Log.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace CellTests {

inline constexpr size_t randomScheduleHosts = 4;

struct RandomSchedule : CellWorld {
    std::mt19937_64 random;
    std::map<uint64_t, std::optional<Common::Result<Common::Done>>> outcomes;
    uint64_t jobs = 0;

    RandomSchedule(uint64_t seed, const std::vector<std::string>& domains, size_t workersEach,
        uint32_t workersEachCell = Cells::HostSettings {}.workersPerCell)
        : CellWorld(seed)
        , random(seed * 7919)
    {
        workersPerCell = workersEachCell;
        for (const std::string& domain : domains)
            addWorkers(domain, workersEach, 4000);
        for (size_t index = 0; index < randomScheduleHosts; ++index)
            addHost(domains[index % domains.size()], "h" + std::to_string(index) + ":1");
        clock.advance(std::chrono::seconds(8));
    }

    size_t randomBelow(size_t bound) { return random() % bound; }
    WorldHost* anyHost()
    {
        std::vector<WorldHost*> up = live();
        std::erase_if(up, [](const WorldHost* host) { return host->process.isPaused(); });
        return up.empty() ? nullptr : up[randomBelow(up.size())];
    }
    void submitJobs()
    {
        for (size_t count = randomBelow(3) + 1; count > 0; --count) {
            WorldHost* const host = anyHost();
            if (!host)
                return;
            const uint64_t number = ++jobs;
            const std::string payload
                = randomBelow(8) == 0 ? "fail:200" : "run:" + std::to_string(200 + randomBelow(1800));
            submit(*host, job(number, payload, 1 + randomBelow(5), 1 + randomBelow(3)), outcomes[number]);
        }
    }
    void submitService(uint32_t tasks)
    {
        ++jobs;
        if (WorldHost* const host = anyHost())
            submit(*host, service(jobs, tasks), outcomes[jobs]);
    }
    /// Crashes a worker and makes the store unavailable at the time when the worker's lease expires and its tasks are
    /// placed again.
    void killWorkerBeforeOutage()
    {
        RunWorker& worker = *workers[randomBelow(workers.size())];
        worker.crash();
        clock.schedule(std::chrono::milliseconds(4500 + randomBelow(2000)), [this] { store.down = true; });
        clock.schedule(std::chrono::milliseconds(9000 + randomBelow(2000)), [this, &worker] {
            store.down = false;
            worker.restart();
        });
    }
    void cancelRandomJob()
    {
        WorldHost* const host = anyHost();
        if (host && jobs > 0)
            host->front.cancel(
                jobId(1 + randomBelow(jobs)), std::chrono::seconds(2), [](const Common::Result<Common::Done>&) {});
    }
    /// Number of tasks of services that were accepted and not cancelled.
    size_t expectedTasks()
    {
        size_t tasks = 0;
        for (const auto& [number, outcome] : outcomes) {
            const auto found = phase(*live().front(), number);
            if (found && !Jobs::isFinal(*found))
                tasks += judge.submitted.at(jobId(number)).steps[0].taskCount;
        }
        return tasks;
    }
    void disconnect(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    /// Logs the virtual time regularly; used when LC_SEED and LC_LOG are set.
    void traceTime()
    {
        LC_INFO(Core,
            "event=time virtual-ms=" << clock.wallMilliseconds() << " starts=" << judge.starts
                                     << " faults=" << judge.faults.size());
        clock.schedule(std::chrono::milliseconds(100), [this] { traceTime(); });
    }
    void injectFault()
    {
        const size_t kind = randomBelow(9);
        LC_INFO(Core, "event=strike kind=" << kind);
        switch (kind) {
        case 0:
            if (const size_t index = randomBelow(hosts.size()); !hosts[index]->process.isKilled())
                restart(index);
            break;
        case 1:
            if (WorldHost* const host = anyHost()) {
                host->process.pause();
                clock.schedule(std::chrono::milliseconds(500 + randomBelow(5000)), [host] { host->process.resume(); });
            }
            break;
        case 2:
            store.down = true;
            clock.schedule(std::chrono::milliseconds(500 + randomBelow(5000)), [this] { store.down = false; });
            break;
        case 3:
            if (const WorldHost* const host = anyHost()) {
                store.rejectedHosts.insert(host->address);
                clock.schedule(
                    std::chrono::milliseconds(500 + randomBelow(7000)), [this] { store.rejectedHosts.clear(); });
            }
            break;
        case 4:
            store.lostPerMille = 200;
            store.latePerMille = 200;
            clock.schedule(std::chrono::milliseconds(500 + randomBelow(4000)),
                [this] { store.lostPerMille = store.latePerMille = 0; });
            break;
        case 5:
            workers[randomBelow(workers.size())]->restart();
            break;
        case 6:
            latePerMille = 80;
            clock.schedule(std::chrono::milliseconds(500 + randomBelow(5000)), [this] { latePerMille = 0; });
            break;
        case 7:
            if (const WorldHost* const host = anyHost()) {
                disconnect(host->address, Fakes::FakeRecordStore::address);
                for (const auto& peer : hosts)
                    disconnect(host->address, peer->address);
                clock.schedule(std::chrono::milliseconds(500 + randomBelow(6000)), [this] { network.heal(); });
            }
            break;
        default: {
            const std::string worker = workers[randomBelow(workers.size())]->entry().address;
            for (const auto& host : hosts)
                disconnect(worker, host->address);
            clock.schedule(std::chrono::milliseconds(500 + randomBelow(9000)), [this] { network.heal(); });
        }
        }
    }
    void clearFaults()
    {
        network.heal();
        store.down = false;
        store.rejectedHosts.clear();
        store.lostPerMille = store.latePerMille = latePerMille = 0;
        for (const auto& host : hosts)
            host->process.resume();
    }
    std::string unfinishedJobs()
    {
        std::string text;
        for (const auto& [number, outcome] : outcomes) {
            if (!outcome || !outcome->hasValue())
                continue;
            const auto found = phase(*live().front(), number);
            if (!found || !Jobs::isFinal(*found))
                text += "job " + std::to_string(number) + " has not ended; ";
        }
        return text;
    }
};

/// Seeds from LC_SEED, either one ("7") or a range ("61-560"), or the default ones.
struct SeedRange {
    uint64_t first = 1;
    uint64_t last = 60;
    bool chosen = false;

    static SeedRange fromEnvironment()
    {
        const char* const text = std::getenv("LC_SEED");
        if (!text)
            return {};
        char* end = nullptr;
        const uint64_t first = std::strtoull(text, &end, 10);
        return { first, *end == '-' ? std::strtoull(end + 1, nullptr, 10) : first, true };
    }
};

/// Seeds of known failures, see KNOWN-RED.txt, that Tools/test.sh passes on as "UNIT=SEED SEED;UNIT=SEED";
/// the unit is the test's source file without its folder and ending.
inline std::set<uint64_t> knownFailures(const std::string& file)
{
    const size_t begin = file.rfind('/') + 1;
    const std::string unit = file.substr(begin, file.rfind('.') - begin);
    std::set<uint64_t> seeds;
    const char* const text = std::getenv("LC_KNOWN_RED_SEEDS");
    const std::string entries = text ? ";" + std::string(text) : std::string {};
    const size_t entry = entries.find(";" + unit + "=");
    if (entry == std::string::npos)
        return seeds;
    std::istringstream numbers(
        entries.substr(entry + unit.size() + 2, entries.find(';', entry + 1) - entry - unit.size() - 2));
    for (uint64_t seed = 0; numbers >> seed;)
        seeds.insert(seed);
    return seeds;
}

/// Runs the scenario for each seed; LC_LOG prints the log of chosen seeds.
template <typename Schedule>
void forEachSeed(
    const std::vector<std::string>& domains, size_t workersEach, const std::function<void(Schedule&)>& scenario)
{
    const SeedRange seeds = SeedRange::fromEnvironment();
    const bool log = seeds.chosen && std::getenv("LC_LOG");
    if (log)
        Common::initLog("schedule", "info");
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        CAPTURE(seed);
        Schedule schedule(seed, domains, workersEach);
        if (log)
            schedule.traceTime();
        scenario(schedule);
    }
}

} // namespace CellTests
