// Workers that start again under their ids while calls to them are under way, and that no host reaches soon after; the
// calls are carried out late, by the next life, while owners are killed and parts of jobs move.
#pragma once

#include "Cells/CutLinksSchedule.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace CellTests {

struct RebirthSchedule : CutLinksSchedule {
    /// How often each coincidence was reached.
    struct Counts {
        /// Workers that started anew while calls to them were under way.
        uint64_t rebirths = 0;
        /// Runs that a call to a former life started on the next one.
        uint64_t starts = 0;
        /// Leases that such calls extended.
        uint64_t grants = 0;
        /// The same while no host reached the worker.
        uint64_t unreachedStarts = 0;
        uint64_t unreachedGrants = 0;
        /// Owners that were killed while no host reached a worker of their cells that had carried out such a call, or
        /// to which one was under way.
        uint64_t ownersKilled = 0;

        Counts& operator+=(const Counts& other)
        {
            rebirths += other.rebirths;
            starts += other.starts;
            grants += other.grants;
            unreachedStarts += other.unreachedStarts;
            unreachedGrants += other.unreachedGrants;
            ownersKilled += other.ownersKilled;
            return *this;
        }
    };
    Counts counts;

    /// One rack, and so one cell, for each four workers.
    static constexpr uint32_t workersEachCell = 4;

    RebirthSchedule(uint64_t seed, const std::vector<std::string>& domains, size_t workersEach)
        : CutLinksSchedule(seed, domains, workersEach, workersEachCell)
    {
        lateCalls.onNextLife = [this](const RunWorker& worker, LateCalls::Effect effect) { note(worker, effect); };
        // The clock of a new life stays behind that of the former one for long.
        clock.advance(std::chrono::seconds(30));
    }

    /// Short jobs, jobs that are larger than a cell, and services.
    void submitWork()
    {
        submitSomeJobs();
        if (randomBelow(2) == 0)
            submitWideJob();
        const auto tasks = static_cast<uint32_t>(1 + randomBelow(6));
        if (randomBelow(2) == 0 && m_lastingTasks + tasks <= mostLastingTasks) {
            m_lastingTasks += tasks;
            submitLasting(tasks);
        }
    }
    /// Some workers of a cell start anew with calls under way and are then cut from all hosts for a while.
    void rebirthAndCut()
    {
        lateCalls.shortest = randomMilliseconds(200, 2'000);
        lateCalls.longest = std::chrono::milliseconds(randomBelow(4) == 0 ? 5'000 : 12'000);
        latePerMille = 300 + randomBelow(701);
        submitWork();
        clock.advance(randomMilliseconds(200, 2'500));

        const std::vector<RunWorker*> chosen = someOfOneCell();
        const Common::Duration untilCut = randomMilliseconds(0, 3'000);
        const Common::MonotonicTime cutEnd = clock.now() + untilCut + randomMilliseconds(4'000, 16'000);
        for (RunWorker* const worker : chosen)
            restartNoted(*worker);
        clock.schedule(untilCut, [this, chosen, cutEnd] { cutFromHosts(chosen, cutEnd); });
        if (randomBelow(2) == 0)
            latePerMille = 0;
        clock.schedule(randomMilliseconds(0, 3'000), [this] { latePerMille = 0; });
        clock.schedule(randomMilliseconds(0, 3'000), [this] { submitWork(); });
        if (randomBelow(2) == 0)
            clock.schedule(randomMilliseconds(0, 9'000), [this, worker = chosen.front()] { killOwnerOf(*worker); });
        // Behind the cut, which hides it from polls and leaves it to the list of workers.
        if (randomBelow(4) == 0)
            clock.schedule(
                untilCut + randomMilliseconds(100, 4'000), [this, worker = chosen.front()] { restartNoted(*worker); });
        if (randomBelow(4) == 0)
            silenceLists();
        if (randomBelow(4) == 0)
            loseStoreAnswers();
        clock.advance(randomMilliseconds(6'000, 14'000));
    }
    /// Accepted services of which not all tasks run, unless they have failed: a step that was there when workers
    /// crashed repeatedly is given up.
    std::string partialServices()
    {
        std::string text;
        for (const auto& [number, outcome] : m_services) {
            if (!outcome || !outcome->hasValue() || phase(*live().front(), number) == Jobs::JobPhase::Failed)
                continue;
            const uint32_t tasks = judge.submitted.at(jobId(number)).steps[0].taskCount;
            const size_t running = judge.running(jobId(number));
            if (running != tasks)
                text += "service " + std::to_string(number) + " has " + std::to_string(running) + " of "
                    + std::to_string(tasks) + " runs; ";
        }
        return text;
    }

private:
    /// Leaves most of the room to jobs, also while a cell is cut off.
    static constexpr uint32_t mostLastingTasks = 14;

    /// A job of which a cell, with 16 cores, runs some tasks only while others wait.
    void submitWideJob()
    {
        WorldHost* const host = anyHost();
        if (!host)
            return;
        const uint64_t number = ++jobs;
        const std::string payload = "run:" + std::to_string(300 + randomBelow(4'000));
        submit(*host, job(number, payload, 8 + static_cast<uint32_t>(randomBelow(20)), 1 + randomBelow(2)),
            outcomes[number]);
    }
    void submitLasting(uint32_t tasks)
    {
        if (WorldHost* const host = anyHost()) {
            const uint64_t number = ++jobs;
            submit(*host, service(number, tasks), m_services[number]);
        }
    }
    std::vector<RunWorker*> someOfOneCell()
    {
        const Common::RackId rack = workers[randomBelow(workers.size())]->entry().rack;
        std::vector<RunWorker*> chosen;
        for (const auto& worker : workers) {
            if (worker->entry().rack == rack && (chosen.empty() || randomBelow(3) > 0))
                chosen.push_back(worker.get());
        }
        return chosen;
    }
    void restartNoted(RunWorker& worker)
    {
        const size_t underWay = lateCalls.underWay(worker);
        if (underWay > 0)
            ++counts.rebirths;
        m_affected.erase(&worker);
        const std::chrono::milliseconds pause = randomMilliseconds(50, 1'500);
        LC_INFO(Core,
            "event=rebirth worker=" << worker.entry().id.value() << " under-way=" << underWay
                                    << " pause-ms=" << pause.count());
        worker.restart(pause);
    }
    void cutFromHosts(const std::vector<RunWorker*>& chosen, Common::MonotonicTime until)
    {
        std::set<std::string> addresses;
        for (const auto& host : hosts)
            addresses.insert(host->address);
        for (const RunWorker* const worker : chosen) {
            LC_INFO(Core,
                "event=cut worker=" << worker->entry().id.value()
                                    << " ms=" << (until - clock.now()) / std::chrono::milliseconds(1));
            for (const std::string& address : addresses) {
                cutUntil(address, worker->entry().address, until);
                cutUntil(worker->entry().address, address, until);
            }
        }
    }
    static bool owns(const WorldHost& host, const RunWorker& worker)
    {
        return host.cellOwnership.engines().contains(host.cellOwnership.layout().cellOf(worker.entry()));
    }
    /// Kills the process that orders the worker's runs; another is started at its address, at once or later.
    void killOwnerOf(const RunWorker& worker)
    {
        for (size_t index = 0; index < hosts.size(); ++index) {
            const WorldHost& host = *hosts[index];
            if (host.process.isKilled() || !owns(host, worker))
                continue;
            if (isCutOff(worker.entry().address) && (m_affected.contains(&worker) || lateCalls.underWay(worker) > 0))
                ++counts.ownersKilled;
            const bool atOnce = randomBelow(2) == 0;
            LC_INFO(Core, "event=kill host=" << host.address << " at-once=" << atOnce);
            if (atOnce) {
                restart(index);
                return;
            }
            hosts[index]->process.kill();
            clock.schedule(randomMilliseconds(500, 6'000), [this, index] { restart(index); });
            return;
        }
    }
    /// Hosts learn late from the list of workers which of them have started anew.
    void silenceLists()
    {
        for (WorldHost* const host : live()) {
            if (randomBelow(2) == 0)
                host->workers.silenceConnection();
        }
    }
    void loseStoreAnswers()
    {
        store.lostPerMille = 100 + randomBelow(400);
        store.latePerMille = randomBelow(300);
        clock.schedule(randomMilliseconds(500, 4'000), [this] { store.lostPerMille = store.latePerMille = 0; });
    }
    void note(const RunWorker& worker, LateCalls::Effect effect)
    {
        const bool isStart = effect == LateCalls::Effect::Start;
        const bool unreached = isCutOff(worker.entry().address);
        ++(isStart ? counts.starts : counts.grants);
        if (unreached)
            ++(isStart ? counts.unreachedStarts : counts.unreachedGrants);
        m_affected.insert(&worker);
        LC_INFO(Core,
            "event=" << (isStart ? "late-start" : "late-grant") << " worker=" << worker.entry().id.value()
                     << " unreached=" << unreached);
    }

    uint32_t m_lastingTasks = 0;
    /// Outcomes of their submissions.
    std::map<uint64_t, std::optional<Common::Result<Common::Done>>> m_services;
    /// Workers whose present life has carried out a call to a former one.
    std::set<const RunWorker*> m_affected;
};

} // namespace CellTests
