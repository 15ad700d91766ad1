// Daemons of one failure domain for tests: the real membership and fleet services, with a fake network, store and
// workers, under a virtual clock.
#pragma once

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Fakes/FakePeer.h"
#include "Fakes/FakeWorkerPort.h"
#include "Membership/FleetService.h"
#include "Membership/MembershipService.h"
#include "MemoryStore.h"

#include <memory>
#include <string>
#include <vector>

namespace Fakes {

/// Starts a task on every owned worker with a free slot, some time after it checked for both.
class EagerPlacer {
public:
    EagerPlacer(FakeProcess& process, FakeWorkerPort& workers, Membership::FleetService& fleet, std::string name)
        : m_process(process)
        , m_workers(workers)
        , m_fleet(fleet)
        , m_name(std::move(name))
    {
        fleet.onChange([this](Scheduler::WorkerFleet::Change change, const Scheduler::OwnedWorker& worker) {
            if (change != Scheduler::WorkerFleet::Change::Lost)
                handleReport(worker);
        });
        place();
    }

private:
    struct Pending {
        Common::WorkerBootId boot;
        Common::WorkerTime startBy;
    };

    /// A start is no longer pending once the report lists it or the worker would refuse it.
    void handleReport(const Scheduler::OwnedWorker& worker)
    {
        std::vector<Common::TaskId> ended;
        for (const Scheduler::TaskReport& task : worker.report.tasks) {
            m_pending[worker.worker].erase(task.task);
            if (task.state != Scheduler::TaskState::Running)
                ended.push_back(task.task);
        }
        m_fleet.acknowledge(worker.worker, ended);
        std::erase_if(m_pending[worker.worker], [&](const auto& pending) {
            return pending.second.boot != worker.report.boot || worker.report.clock >= pending.second.startBy;
        });
    }
    void place()
    {
        m_process.schedule(std::chrono::milliseconds(150), [this] { place(); });
        for (const Common::WorkerId& id : m_fleet.owned()) {
            const std::optional<Scheduler::OwnedWorker> worker = m_fleet.ownedWorker(id);
            if (worker && !worker->leaving)
                startTasks(*worker);
        }
    }
    void startTasks(const Scheduler::OwnedWorker& worker)
    {
        int64_t free = worker.report.capacity.slots - static_cast<int64_t>(m_pending[worker.worker].size());
        for (const Scheduler::TaskReport& task : worker.report.tasks)
            free -= task.state == Scheduler::TaskState::Running ? 1 : 0;
        for (; free > 0; --free) {
            Scheduler::StartCommand command;
            command.task = Common::TaskId(m_name + "#" + std::to_string(++m_lastTask));
            command.boot = worker.report.boot;
            command.startBy = worker.startBy;
            command.leaseTimeToLive = std::chrono::seconds(15);
            command.declared = { .slots = 1, .milliCores = 100, .memoryMegabytes = 100 };
            m_pending[worker.worker][command.task] = { command.boot, command.startBy };
            m_process.schedule(sendDelay(), [this, worker, command] {
                m_workers.start(worker.address, command, [](const Common::Result<Common::Done>&) {});
            });
        }
    }

    /// Delay between check and start, sometimes up to three seconds.
    Common::Duration sendDelay()
    {
        const uint64_t bound = m_process.random()() % 8 == 0 ? 3000 : 60;
        return std::chrono::milliseconds(m_process.random()() % bound);
    }

    FakeProcess& m_process;
    FakeWorkerPort& m_workers;
    Membership::FleetService& m_fleet;
    std::string m_name;
    uint64_t m_lastTask = 0;
    std::map<Common::WorkerId, std::map<Common::TaskId, Pending>> m_pending;
};

class Cluster {
public:
    struct Daemon {
        Daemon(Cluster& cluster, const std::string& daemonAddress, const std::string& id)
            : address(daemonAddress)
            , process(cluster.world, cluster.random())
            , timeline(id, 100, [this] { return process.wallMilliseconds(); })
            , peers(cluster.network, process, cluster.peers, address)
            , workers(cluster.network, process, cluster.workerDirectory, address)
            , store(cluster.store, process)
            , context { process, timeline, metrics }
            , membership(context, peers, store,
                  Scheduler::PeerInfo { .id = Common::DaemonId(id),
                      .domain = Common::DomainId("yard"),
                      .region = Common::RegionId("est"),
                      .address = address },
                  Membership::MembershipSettings {
                      .seeds = cluster.withSeeds ? cluster.addresses : std::vector<std::string> {} })
            , fleet(context, workers, store, peers, membership, Membership::FleetSettings {})
            , placer(process, workers, fleet, id)
        {
            membership.start();
            fleet.start();
        }

        std::string address;
        FakeProcess process;
        Common::Timeline timeline;
        Common::Metrics metrics;
        FakePeer peers;
        FakeWorkerPort workers;
        MemoryStore::Client store;
        Scheduler::ServiceContext context;
        Membership::MembershipService membership;
        Membership::FleetService fleet;
        EagerPlacer placer;
    };

    Cluster(uint64_t seed, size_t daemonCount, size_t workerCount, bool storeDown = false)
        : random(seed)
        , world(seed)
        , network(world, seed + 1)
    {
        store.isDown = storeDown;
        for (size_t number = 0; number < daemonCount; ++number)
            addresses.push_back("d" + std::to_string(number));
        for (size_t number = 0; number < workerCount; ++number)
            addWorker("w" + std::to_string(number));
        live.resize(daemonCount, nullptr);
        for (size_t number = 0; number < daemonCount; ++number)
            startDaemon(number);
    }

    void addWorker(const std::string& name)
    {
        const auto rate = static_cast<int64_t>(995 + random() % 11);
        workers.push_back(std::make_unique<FakeWorker>(world, name, name + ":7000", 2, rate));
        workerDirectory[name + ":7000"] = workers.back().get();
        store.hosts.push_back({ Common::WorkerId(name), Common::DomainId("yard"), name + ":7000" });
    }
    /// Starts or restarts a daemon; a restarted one has the old address and a new id.
    void startDaemon(size_t number)
    {
        const std::string id = addresses[number] + "@" + std::to_string(daemons.size());
        daemons.push_back(std::make_unique<Daemon>(*this, addresses[number], id));
        live[number] = daemons.back().get();
    }
    void run(Common::Duration span) { world.advance(span); }
    size_t ownersOf(const FakeWorker& worker) const
    {
        size_t owners = 0;
        for (const Daemon* daemon : live)
            owners += daemon && !daemon->process.isKilled() && daemon->fleet.ownedWorker(worker.id()) ? 1 : 0;
        return owners;
    }
    bool allOwnedOnce() const
    {
        return std::all_of(
            workers.begin(), workers.end(), [this](const auto& worker) { return ownersOf(*worker) == 1; });
    }
    size_t startCount() const
    {
        size_t starts = 0;
        for (const auto& worker : workers)
            starts += worker->startCount();
        return starts;
    }
    std::string firstViolation() const
    {
        for (const auto& worker : workers) {
            if (!worker->violations().empty())
                return worker->violations().front();
        }
        return "";
    }

    std::mt19937_64 random;
    VirtualRuntime world;
    FakeNetwork network;
    MemoryStore store;
    FakePeer::Directory peers;
    FakeWorkerPort::Directory workerDirectory;
    /// Addresses of the daemons; also the seeds of each daemon that starts while `withSeeds` is true.
    std::vector<std::string> addresses;
    bool withSeeds = true;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    /// All daemons, stopped ones included; the newest of each number is in `live`.
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<Daemon*> live;
};

} // namespace Fakes
