// A simulated world for tests: whole entry hosts over a fake store, fake workers, heartbeats and peer calls.
#pragma once

#include "Cells/CellOwnership.h"
#include "Cells/HeartbeatPort.h"
#include "Cells/JobGateway.h"
#include "Cells/RelayedStore.h"
#include "Cells/RunWorkerPort.h"
#include "Cells/WorkerList.h"
#include "Fakes/FakePeer.h"
#include "Fakes/FakeRecordStore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace CellTests {

/// The platform's list of workers, always up to date unless the connection to it is silent.
class RunWorkerList final : public Cells::WorkerList {
public:
    RunWorkerList(Fakes::FakeProcess& process, const std::vector<std::unique_ptr<RunWorker>>& workers)
        : m_process(process)
        , m_workers(workers)
    {
    }

    void list(Common::Callback<Cells::WorkerChanges> done) override
    {
        m_process.schedule(std::chrono::milliseconds(3), [this, done] { done(changes()); });
    }
    void read(const Common::WorkerId& id, Common::Callback<std::optional<Cells::WorkerEntry>> done) override
    {
        m_process.schedule(std::chrono::milliseconds(3), [this, id, done] {
            if (storeDown) {
                done(Common::Failure { Common::ErrorCode::Timeout, "", {} });
                return;
            }
            for (const Cells::WorkerEntry& entry : changes().listed) {
                if (entry.id == id) {
                    done(std::optional(entry));
                    return;
                }
            }
            done(std::optional<Cells::WorkerEntry>());
        });
    }
    void watch(Common::StoreRevision, Common::Duration wait, Common::Callback<Cells::WorkerChanges> done) override
    {
        // Entries change every second or two; what was missed is told at once.
        const Common::Duration pause = std::exchange(m_missedChanges, false)
            ? Common::Duration(std::chrono::milliseconds(3))
            : std::chrono::seconds(1);
        m_process.schedule(pause, [this, wait, pause, done] {
            if (!m_silent) {
                done(changes());
                return;
            }
            m_process.schedule(wait + storeTimeout - pause, [this, done] {
                m_silent = false;
                m_missedChanges = true;
                done(Common::Failure { Common::ErrorCode::Timeout, "", {} });
            });
        });
    }
    /// The connection falls silent: the watch that is open, or else the next one, ends by its timeout only.
    void silenceConnection() { m_silent = true; }
    /// Single entries can't be read.
    bool storeDown = false;

private:
    /// Platform::KeyValueStore::Settings::timeout.
    static constexpr Common::Duration storeTimeout = std::chrono::milliseconds(800);

    Cells::WorkerChanges changes() const
    {
        Cells::WorkerChanges found;
        for (const auto& worker : m_workers) {
            if (worker->outdatedEntry)
                found.listed.push_back(*worker->outdatedEntry);
            else if (worker->up() && worker->listed)
                found.listed.push_back(worker->entry());
            else
                found.removed.push_back(worker->entry().id);
        }
        return found;
    }

    Fakes::FakeProcess& m_process;
    const std::vector<std::unique_ptr<RunWorker>>& m_workers;
    bool m_silent = false;
    bool m_missedChanges = false;
};

class WorldHeartbeats final : public Cells::HeartbeatPort {
public:
    using Directory = std::map<std::string, WorldHeartbeats*>;

    /// `lossPerMille` heartbeats get lost, besides those that the network loses.
    WorldHeartbeats(Fakes::FakeNetwork& network, Fakes::FakeProcess& process, Directory& directory, std::string address,
        const uint64_t& lossPerMille)
        : m_network(network)
        , m_process(process)
        , m_directory(directory)
        , m_address(std::move(address))
        , m_lossPerMille(lossPerMille)
    {
        m_directory[m_address] = this;
    }

    void send(const std::string& address, std::string_view text) override
    {
        if (losesSent || m_process.isKilled() || (m_lossPerMille > 0 && m_process.random()() % 1000 < m_lossPerMille))
            return;
        m_network.send(m_address, address, [this, address, text = std::string(text)] {
            const auto found = m_directory.find(address);
            if (found == m_directory.end())
                return;
            WorldHeartbeats* const receiver = found->second;
            receiver->m_process.post([receiver, text] {
                if (!receiver->dropsAll)
                    receiver->deliver(text);
            });
        });
    }
    void onReceive(std::function<void(std::string_view)> handler) override { m_handler = std::move(handler); }

    void deliver(const std::string& text)
    {
        if (keepsReceived)
            received.push_back(text);
        if (m_handler)
            m_handler(text);
    }

    /// Heartbeats that this host sends are lost.
    bool losesSent = false;
    /// Received heartbeats are lost, as when the socket's buffer is full because the process is late.
    bool dropsAll = false;
    /// Whether received heartbeats are kept, so that a test can deliver them again.
    bool keepsReceived = false;
    std::vector<std::string> received;

private:
    Fakes::FakeNetwork& m_network;
    Fakes::FakeProcess& m_process;
    Directory& m_directory;
    std::string m_address;
    const uint64_t& m_lossPerMille;
    std::function<void(std::string_view)> m_handler;
};

/// One process of an entry host. Kept until the end of the test, even after it was killed.
struct WorldHost {
    Fakes::FakeProcess process;
    std::string address;
    Cells::HostSettings settings;
    Cells::CellSettings cellSettings;
    Fakes::FakePeer peer;
    WorldHeartbeats heartbeats;
    RunWorkerPort orders;
    RunWorkerList workers;
    Cells::RelayedStore store;
    Cells::CellOwnership cellOwnership;
    Cells::JobGateway front;

    template <typename World>
    WorldHost(World& world, Cells::HostSettings hostSettings, uint64_t seed)
        : process(world.clock, seed)
        , address(hostSettings.address)
        , settings(std::move(hostSettings))
        , peer(world.network, process, world.peers, address)
        , heartbeats(world.network, process, world.heartbeats, address, world.heartbeatLossPerMille)
        , orders(
              world.clock, world.network, process, world.workerDirectory, address, world.latePerMille, world.lateCalls)
        , workers(process, world.workers)
        , store(process, world.store.client(address, process), peer)
        , cellOwnership({ process, store, workers, orders, heartbeats }, settings, cellSettings)
        , front(process, store, peer, cellOwnership, settings)
    {
        store.start(cellOwnership.hosts());
        front.start();
        cellOwnership.setStoreAvailable(true);
        cellOwnership.start();
        noteStore();
    }
    void noteStore()
    {
        cellOwnership.setStoreAvailable(store.isDirectStoreAvailable());
        process.schedule(std::chrono::milliseconds(500), [this] { noteStore(); });
    }
};

class CellWorld {
public:
    explicit CellWorld(uint64_t seed)
        : clock(seed)
        , network(clock, seed)
        , store(clock, network, seed)
        , m_random(seed)
    {
        noteLostEnds();
    }

    Fakes::VirtualRuntime clock;
    Fakes::FakeNetwork network;
    Fakes::FakeRecordStore store;
    Fakes::FakePeer::Directory peers;
    WorldHeartbeats::Directory heartbeats;
    RunJudge judge;
    RunWorkerPort::Directory workerDirectory;
    std::vector<std::unique_ptr<RunWorker>> workers;
    std::vector<std::unique_ptr<WorldHost>> hosts;
    /// Share of the orders to workers, in thousandths, that are carried out seconds late and never answered.
    uint64_t latePerMille = 0;
    LateCalls lateCalls;
    /// Share of the heartbeats that get lost, in thousandths. Calls go over connections, which repeat what is lost.
    uint64_t heartbeatLossPerMille = 0;
    /// Target number of workers per cell.
    uint32_t workersPerCell = Cells::HostSettings {}.workersPerCell;
    /// Maximum number of seed addresses that a new host gets.
    size_t mostSeeds = SIZE_MAX;

    void addWorkers(const std::string& domain, size_t count, int64_t milliCores,
        const std::vector<std::string>& labels = {}, const std::string& service = "desk")
    {
        for (size_t index = 0; index < count; ++index) {
            Cells::WorkerEntry entry;
            entry.id = Common::WorkerId("w" + std::to_string(workers.size()));
            entry.address = entry.id.value() + ":1";
            entry.service = Common::ServiceName(service);
            entry.labels = labels;
            entry.domain = Common::DomainId(domain);
            entry.rack = Common::RackId("r" + std::to_string(index / 4) + "-" + domain);
            entry.capacity = Common::Resources { 0, milliCores, 100'000, 0 };
            workers.push_back(std::make_unique<RunWorker>(clock, judge, entry));
            workerDirectory[entry.address] = workers.back().get();
        }
    }
    WorldHost& addHost(const std::string& domain, const std::string& name, int64_t weight = 1000)
    {
        Cells::HostSettings settings;
        settings.weight = weight;
        settings.workersPerCell = workersPerCell;
        settings.id = Common::DaemonId(name + "@" + std::to_string(++m_boots));
        settings.address = settings.heartbeatAddress = name;
        settings.domain = Common::DomainId(domain);
        settings.region = Common::RegionId(region(domain));
        for (const auto& [address, port] : heartbeats) {
            if (settings.seeds.size() < mostSeeds)
                settings.seeds.push_back(address);
        }
        hosts.push_back(std::make_unique<WorldHost>(*this, settings, m_random()));
        return *hosts.back();
    }
    /// The region of a domain.
    std::function<std::string(const std::string&)> region = [](const std::string&) { return "east"; };
    /// Kills the host's process and starts another at the same address.
    WorldHost& restart(size_t index)
    {
        WorldHost& old = *hosts[index];
        old.process.kill();
        return addHost(old.settings.domain.value(), old.address, old.settings.weight);
    }
    bool isCutOff(const std::string& worker) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
            return host->process.isKilled() || network.isCut(worker, host->address)
                || network.isCut(host->address, worker);
        });
    }
    /// Number of runs on all workers.
    size_t running() const
    {
        size_t count = 0;
        for (const auto& worker : workers)
            count += worker->running();
        return count;
    }
    std::vector<WorldHost*> live()
    {
        std::vector<WorldHost*> found;
        for (const auto& host : hosts) {
            if (!host->process.isKilled())
                found.push_back(host.get());
        }
        return found;
    }

    static Common::JobId jobId(uint64_t number)
    {
        std::string digits = std::to_string(number);
        return Common::JobId(std::string(16 - digits.size(), '0') + digits);
    }
    static Jobs::JobRecord job(uint64_t number, const std::string& payload, uint32_t tasks, uint32_t steps = 1)
    {
        Jobs::JobRecord record;
        record.id = jobId(number);
        record.policy.route = "cut";
        record.policy.service = Common::ServiceName("desk");
        record.policy.maximumAttempts = 2;
        record.policy.stretch = 2;
        record.policy.targetDuration = std::chrono::seconds(1);
        record.spec.payload = payload;
        for (uint32_t step = 0; step < steps; ++step) {
            Jobs::StepSpec spec;
            spec.taskCount = tasks;
            spec.resources = Common::Resources { 0, 1000, 100, 0 };
            spec.estimate = std::chrono::milliseconds(500);
            if (step > 0)
                spec.after = { step - 1 };
            record.spec.steps.push_back(spec);
        }
        return record;
    }
    /// A job of long-running tasks, each with 1000 thousandths of a core.
    static Jobs::JobRecord service(uint64_t number, uint32_t tasks)
    {
        Jobs::JobRecord record = job(number, "last", tasks);
        record.spec.steps[0].longRunning = true;
        return record;
    }
    /// Whether the cancellation was durable within two seconds.
    bool cancel(uint64_t number)
    {
        bool cancelled = false;
        live().front()->front.cancel(jobId(number), std::chrono::seconds(2),
            [&cancelled](const Common::Result<Common::Done>& done) { cancelled = done.hasValue(); });
        clock.advance(std::chrono::seconds(2));
        return cancelled;
    }
    /// Submits at a host; `outcome` must outlive the answer, which is written to it.
    void submit(WorldHost& host, Jobs::JobRecord record, std::optional<Common::Result<Common::Done>>& outcome)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        host.front.submit(std::move(record), std::chrono::seconds(3),
            [&outcome](const Common::Result<Common::Done>& done) { outcome = done; });
    }
    std::optional<Jobs::JobPhase> phase(WorldHost& host, uint64_t number)
    {
        std::optional<Jobs::JobPhase> found;
        host.front.phase(jobId(number), std::chrono::seconds(2), [&found](const Common::Result<Jobs::JobPhase>& phase) {
            if (phase)
                found = *phase;
        });
        // Short enough that the states of many final jobs can be queried one after the other within their retention.
        clock.advance(std::chrono::milliseconds(200));
        return found;
    }

private:
    /// Tells the judge of workers whose leases have lapsed while they were cut off from all hosts.
    void noteLostEnds()
    {
        for (const auto& worker : workers) {
            if (worker->hasLeaseLapsed() && isCutOff(worker->entry().address))
                judge.endsLost(worker->entry().id.value());
        }
        clock.schedule(std::chrono::milliseconds(100), [this] { noteLostEnds(); });
    }

    std::mt19937_64 m_random;
    uint64_t m_boots = 0;
};

} // namespace CellTests
