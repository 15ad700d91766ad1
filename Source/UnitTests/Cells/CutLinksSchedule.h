// Random faults with owners that are cut from some of the workers, in both directions or in one.
#pragma once

#include "Cells/RandomSchedule.h"

#include <algorithm>
#include <list>
#include <set>
#include <string>
#include <vector>

namespace CellTests {

struct CutLinksSchedule : RandomSchedule {
    uint64_t cuts = 0;

    CutLinksSchedule(uint64_t seed, const std::vector<std::string>& domains, size_t workersEach,
        uint32_t workersEachCell = Cells::HostSettings {}.workersPerCell)
        : RandomSchedule(seed, domains, workersEach, workersEachCell)
    {
        keepCuts();
    }

    std::chrono::milliseconds randomMilliseconds(size_t least, size_t most)
    {
        return std::chrono::milliseconds(least + randomBelow(most - least + 1));
    }
    /// A live host that owns a cell; null when there is none.
    WorldHost* anyOwner()
    {
        std::vector<WorldHost*> owners = live();
        std::erase_if(owners, [](const WorldHost* host) { return host->cellOwnership.engines().empty(); });
        return owners.empty() ? nullptr : owners[randomBelow(owners.size())];
    }
    /// Cuts an owner from about half of the workers of its cells; the other hosts reach them.
    void cutOwnerFromWorkers()
    {
        WorldHost* const owner = anyOwner();
        if (!owner)
            return;
        const Common::MonotonicTime until = clock.now() + randomMilliseconds(500, 12'000);
        const size_t directions = randomBelow(3);
        size_t links = 0;
        for (const auto& worker : workers) {
            if (randomBelow(2) == 0 || !serves(*owner, *worker))
                continue;
            ++links;
            if (directions != 1)
                cutUntil(owner->address, worker->entry().address, until);
            if (directions != 0)
                cutUntil(worker->entry().address, owner->address, until);
        }
        cuts += links;
        const size_t companion = randomBelow(4);
        LC_INFO(Core,
            "event=cut host=" << owner->address << " workers=" << links << " directions=" << directions << " companion="
                              << companion << " ms=" << (until - clock.now()) / std::chrono::milliseconds(1));
        // Its cells are taken over while it may still grant leases: it isn't heard, or learns nothing from the store.
        if (companion == 1 || companion == 3) {
            loseHeartbeatsUntil(*owner, until);
        }
        if (companion >= 2) {
            cutStoreUntil(*owner, until);
        }
    }
    /// An owner alone reaches some of its workers, and neither the store nor the other hosts, which take its cells
    /// over.
    void leaveWorkersToOwner()
    {
        WorldHost* const owner = anyOwner();
        if (!owner)
            return;
        const Common::MonotonicTime until = clock.now() + randomMilliseconds(4'000, 12'000);
        std::set<std::string> others;
        for (const WorldHost* const host : live())
            others.insert(host->address);
        others.erase(owner->address);
        size_t links = 0;
        for (const auto& worker : workers) {
            if (randomBelow(2) == 0 || !serves(*owner, *worker))
                continue;
            for (const std::string& other : others) {
                cutUntil(other, worker->entry().address, until);
                cutUntil(worker->entry().address, other, until);
                ++links;
            }
        }
        cuts += links;
        LC_INFO(Core,
            "event=cut-others host=" << owner->address << " links=" << links
                                     << " ms=" << (until - clock.now()) / std::chrono::milliseconds(1));
        loseHeartbeatsUntil(*owner, until);
        cutStoreUntil(*owner, until);
        if (randomBelow(2) == 0) {
            clock.schedule(randomMilliseconds(2'500, 6'000), [this, owner] { endOwnerOtherThan(*owner); });
        }
    }
    /// An owner releases its cells; its process is started anew a little later.
    void drainOwner()
    {
        for (size_t index = 0; index < hosts.size(); ++index) {
            const WorldHost& host = *hosts[index];
            if (host.process.isKilled() || host.process.isPaused() || host.cellOwnership.engines().empty()
                || m_draining.contains(&host) || randomBelow(2) == 0)
                continue;
            drain(index);
            return;
        }
    }
    void pauseOwner()
    {
        WorldHost* const owner = anyOwner();
        if (!owner || owner->process.isPaused())
            return;
        LC_INFO(Core, "event=pause host=" << owner->address);
        owner->process.timersFirst = randomBelow(2) == 0;
        owner->process.pause();
        clock.schedule(randomMilliseconds(500, 12'000), [owner] { owner->process.resume(); });
    }
    void restartOwner()
    {
        WorldHost* const owner = anyOwner();
        for (size_t index = 0; owner && index < hosts.size(); ++index) {
            if (hosts[index].get() != owner)
                continue;
            LC_INFO(Core, "event=restart host=" << owner->address);
            restart(index);
            return;
        }
    }
    /// Jobs whose runs outlast a change of owner, or shorter ones.
    void submitSomeJobs()
    {
        submitJobs();
        WorldHost* const host = anyHost();
        if (!host || randomBelow(2) == 0)
            return;
        const uint64_t number = ++jobs;
        submit(*host, job(number, "run:" + std::to_string(2'000 + randomBelow(7'000)), 1 + randomBelow(6)),
            outcomes[number]);
    }
    void injectSomeFault()
    {
        if (randomBelow(3) == 0)
            leaveWorkersToOwner();
        else
            cutOwnerFromWorkers();
        // At times the successor is cut from other workers before the first cut ends.
        if (randomBelow(3) == 0) {
            clock.advance(randomMilliseconds(2'000, 5'000));
            cutOwnerFromWorkers();
        }
        clock.advance(randomMilliseconds(0, 3'000));
        switch (randomBelow(6)) {
        case 0:
            restartOwner();
            break;
        case 1:
            drainOwner();
            break;
        case 2:
            pauseOwner();
            break;
        case 3:
        case 4:
            injectFault();
            break;
        default:
            break;
        }
    }
    void endFaults()
    {
        m_cuts.clear();
        clearFaults();
        for (const auto& host : hosts)
            host->heartbeats.losesSent = false;
    }
    /// Queries the jobs' states for the judge; hosts must be in touch.
    void notePhases()
    {
        for (const auto& [number, outcome] : outcomes) {
            if (phase(*live().front(), number) == Jobs::JobPhase::Completed)
                judge.twice.shownCompleted(jobId(number), clock.now());
        }
    }

protected:
    void cutUntil(const std::string& from, const std::string& to, Common::MonotonicTime until)
    {
        network.cut(from, to);
        m_cuts.push_back({ from, to, until });
    }
    static bool serves(const WorldHost& owner, const RunWorker& worker)
    {
        const std::string prefix = worker.entry().domain.value() + "-";
        const auto& engines = owner.cellOwnership.engines();
        return std::any_of(
            engines.begin(), engines.end(), [&](const auto& row) { return row.first.value().starts_with(prefix); });
    }

private:
    struct Cut {
        std::string from;
        std::string to;
        Common::MonotonicTime until;
    };

    void cutStoreUntil(const WorldHost& host, Common::MonotonicTime until)
    {
        cutUntil(host.address, Fakes::FakeRecordStore::address, until);
        cutUntil(Fakes::FakeRecordStore::address, host.address, until);
    }
    void loseHeartbeatsUntil(WorldHost& host, Common::MonotonicTime until)
    {
        host.heartbeats.losesSent = true;
        clock.schedule(until - clock.now(), [&host] { host.heartbeats.losesSent = false; });
    }
    /// Restarts or drains an owner other than the given one.
    void endOwnerOtherThan(const WorldHost& former)
    {
        for (size_t index = 0; index < hosts.size(); ++index) {
            WorldHost& host = *hosts[index];
            if (&host == &former || host.process.isKilled() || host.cellOwnership.engines().empty())
                continue;
            if (randomBelow(2) == 0) {
                LC_INFO(Core, "event=restart host=" << host.address);
                restart(index);
            } else if (!host.process.isPaused()) {
                drain(index);
            }
            return;
        }
    }
    void drain(size_t index)
    {
        WorldHost& host = *hosts[index];
        if (!m_draining.insert(&host).second)
            return;
        LC_INFO(Core, "event=drain host=" << host.address);
        host.cellOwnership.drain([] {});
        clock.schedule(randomMilliseconds(500, 3'000), [this, index] {
            if (!hosts[index]->process.isKilled())
                restart(index);
        });
    }
    /// Other faults heal the whole network; these cuts last.
    void keepCuts()
    {
        for (auto cut = m_cuts.begin(); cut != m_cuts.end();) {
            const bool over = clock.now() >= cut->until;
            if (over)
                network.mend(cut->from, cut->to);
            else
                network.cut(cut->from, cut->to);
            cut = over ? m_cuts.erase(cut) : std::next(cut);
        }
        clock.schedule(std::chrono::milliseconds(10), [this] { keepCuts(); });
    }

    std::list<Cut> m_cuts;
    std::set<const WorldHost*> m_draining;
};

} // namespace CellTests
