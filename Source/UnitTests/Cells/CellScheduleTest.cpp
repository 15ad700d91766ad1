// Seeded schedules of failures over whole hosts: whatever comes, no promise is broken and every accepted job ends.
#include "Cells/CellWorld.h"
#include "Common/Log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t seeds = 60;
constexpr size_t hostCount = 4;
constexpr size_t faultCount = 10;

struct Schedule : CellWorld {
    std::mt19937_64 random;
    std::map<uint64_t, std::optional<Common::Result<Common::Done>>> outcomes;
    uint64_t jobs = 0;

    Schedule(uint64_t seed, const std::vector<std::string>& domains, size_t workersEach)
        : CellWorld(seed)
        , random(seed * 7919)
    {
        for (const std::string& domain : domains)
            addWorkers(domain, workersEach, 4000);
        for (size_t index = 0; index < hostCount; ++index)
            addHost(domains[index % domains.size()], "h" + std::to_string(index) + ":1");
        clock.advance(8s);
    }

    size_t pick(size_t bound) { return random() % bound; }
    WorldHost* anyHost()
    {
        std::vector<WorldHost*> up = live();
        std::erase_if(up, [](const WorldHost* host) { return host->process.isPaused(); });
        return up.empty() ? nullptr : up[pick(up.size())];
    }
    void submitSome()
    {
        for (size_t count = pick(3) + 1; count > 0; --count) {
            WorldHost* const host = anyHost();
            if (!host)
                return;
            const uint64_t number = ++jobs;
            const std::string payload = pick(8) == 0 ? "fail:200" : "run:" + std::to_string(200 + pick(1800));
            submit(*host, job(number, payload, 1 + pick(5), 1 + pick(3)), outcomes[number]);
        }
    }
    void submitService(uint32_t tasks)
    {
        ++jobs;
        if (WorldHost* const host = anyHost())
            submit(*host, service(jobs, tasks), outcomes[jobs]);
    }
    /// A worker dies, and the store is away when its lease has passed and its tasks look for room.
    void killWorkerBeforeOutage()
    {
        RunWorker& worker = *workers[pick(workers.size())];
        worker.crash();
        clock.schedule(std::chrono::milliseconds(4500 + pick(2000)), [this] { store.down = true; });
        clock.schedule(std::chrono::milliseconds(9000 + pick(2000)), [this, &worker] {
            store.down = false;
            worker.restart();
        });
    }
    void cancelSome()
    {
        WorldHost* const host = anyHost();
        if (host && jobs > 0)
            host->front.cancel(jobId(1 + pick(jobs)), 2s, [](const Common::Result<Common::Done>&) {});
    }
    /// Tasks of services that were accepted and not cancelled.
    size_t wanted()
    {
        size_t tasks = 0;
        for (const auto& [number, outcome] : outcomes) {
            const auto found = phase(*live().front(), number);
            if (found && !Jobs::isFinal(*found))
                tasks += judge.submitted.at(jobId(number)).steps[0].taskCount;
        }
        return tasks;
    }
    void cutPair(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    /// With LC_SEED and LC_LOG set: what happens, with the virtual time.
    void traceTime()
    {
        LC_INFO(Core,
            "event=time virtual-ms=" << clock.wallMilliseconds() << " starts=" << judge.starts
                                     << " faults=" << judge.faults.size());
        clock.schedule(100ms, [this] { traceTime(); });
    }
    void strike()
    {
        const size_t kind = pick(9);
        LC_INFO(Core, "event=strike kind=" << kind);
        switch (kind) {
        case 0:
            if (const size_t index = pick(hosts.size()); !hosts[index]->process.isKilled())
                restart(index);
            break;
        case 1:
            if (WorldHost* const host = anyHost()) {
                host->process.pause();
                clock.schedule(std::chrono::milliseconds(500 + pick(5000)), [host] { host->process.resume(); });
            }
            break;
        case 2:
            store.down = true;
            clock.schedule(std::chrono::milliseconds(500 + pick(5000)), [this] { store.down = false; });
            break;
        case 3:
            if (const WorldHost* const host = anyHost()) {
                store.rejectedHosts.insert(host->address);
                clock.schedule(std::chrono::milliseconds(500 + pick(7000)), [this] { store.rejectedHosts.clear(); });
            }
            break;
        case 4:
            store.lostPerMille = 200;
            store.latePerMille = 200;
            clock.schedule(
                std::chrono::milliseconds(500 + pick(4000)), [this] { store.lostPerMille = store.latePerMille = 0; });
            break;
        case 5:
            workers[pick(workers.size())]->restart();
            break;
        case 6:
            latePerMille = 80;
            clock.schedule(std::chrono::milliseconds(500 + pick(5000)), [this] { latePerMille = 0; });
            break;
        case 7:
            if (const WorldHost* const host = anyHost()) {
                cutPair(host->address, Fakes::FakeRecordStore::address);
                for (const auto& peer : hosts)
                    cutPair(host->address, peer->address);
                clock.schedule(std::chrono::milliseconds(500 + pick(6000)), [this] { network.heal(); });
            }
            break;
        default: {
            const std::string worker = workers[pick(workers.size())]->entry().address;
            for (const auto& host : hosts)
                cutPair(worker, host->address);
            clock.schedule(std::chrono::milliseconds(500 + pick(9000)), [this] { network.heal(); });
        }
        }
    }
    void calm()
    {
        network.heal();
        store.down = false;
        store.rejectedHosts.clear();
        store.lostPerMille = store.latePerMille = latePerMille = 0;
        for (const auto& host : hosts)
            host->process.resume();
    }
    std::string lost()
    {
        std::string text;
        for (const auto& [number, outcome] : outcomes) {
            if (!outcome || !outcome->hasValue())
                continue;
            const auto found = phase(*live().front(), number);
            if (!found || !Jobs::isFinal(*found))
                text += "job " + std::to_string(number) + " didn't end; ";
        }
        return text;
    }
};

void forEachSeed(
    const std::vector<std::string>& domains, size_t workersEach, const std::function<void(Schedule&)>& play)
{
    const char* const wanted = std::getenv("LC_SEED");
    if (wanted && std::getenv("LC_LOG"))
        Common::initLog("schedule", "info");
    const uint64_t first = wanted ? std::strtoull(wanted, nullptr, 10) : 1;
    const uint64_t last = wanted ? first : seeds;
    for (uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        Schedule schedule(seed, domains, workersEach);
        if (wanted && std::getenv("LC_LOG"))
            schedule.traceTime();
        play(schedule);
    }
}

} // namespace

TEST_CASE("schedules of failures")
{
    forEachSeed({ "yard", "shed" }, 6, [](Schedule& schedule) {
        for (size_t fault = 0; fault < faultCount; ++fault) {
            schedule.submitSome();
            schedule.clock.advance(std::chrono::milliseconds(schedule.pick(1500)));
            schedule.strike();
            schedule.clock.advance(std::chrono::milliseconds(schedule.pick(2500)));
        }
        schedule.clock.advance(4s);
        schedule.calm();
        schedule.clock.advance(60s);
        CHECK(schedule.judge.summary() == "");
        CHECK(schedule.lost() == "");
    });
}

TEST_CASE("schedules of failures while services move between full cells")
{
    size_t served = 0;
    forEachSeed({ "yard", "shed", "barn" }, 2, [&served](Schedule& schedule) {
        for (size_t fault = 0; fault < faultCount; ++fault) {
            if (schedule.pick(2) == 0 && schedule.jobs < 8)
                schedule.submitService(2 + static_cast<uint32_t>(schedule.pick(6)));
            schedule.clock.advance(std::chrono::milliseconds(schedule.pick(1500)));
            schedule.strike();
            if (schedule.pick(3) == 0)
                schedule.workers[schedule.pick(schedule.workers.size())]->restart();
            if (schedule.pick(4) == 0)
                schedule.killWorkerBeforeOutage();
            if (schedule.pick(6) == 0)
                schedule.cancelSome();
            schedule.clock.advance(std::chrono::milliseconds(schedule.pick(2500)));
        }
        schedule.clock.advance(12s);
        schedule.calm();
        schedule.clock.advance(60s);
        CHECK(schedule.judge.summary() == "");
        // While workers were away more may have been accepted than all of them hold.
        const size_t room = schedule.workers.size() * 4;
        CHECK(schedule.running() == std::min(schedule.wanted(), room));
        served += schedule.running();
    });
    CHECK(served > 0);
}
