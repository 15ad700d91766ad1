// Runs the real services through random schedules of failures, and checks the journals of the fake workers for
// violations.
// LC_SEED=n replays one schedule; LC_SCHEDULES=n runs that many.
#include "Cluster.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Fakes;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t defaultSchedules = 5000;

uint64_t numberFromEnvironment(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): one thread
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

class Schedule {
public:
    explicit Schedule(uint64_t seed)
        : m_random(seed * 7919)
        , m_cluster(seed, 2 + seed % 2, 2 + seed % 3)
    {
    }

    /// Returns the first violation found, or an empty string.
    std::string run()
    {
        m_cluster.run(6s);
        for (int step = 0; step < steps && m_cluster.firstViolation().empty(); ++step) {
            injectFailure();
            runWithTasksEnding(std::chrono::milliseconds(pick(2500)));
        }
        repairAll();
        m_cluster.run(16s);
        std::string violation = m_cluster.firstViolation();
        if (!violation.empty())
            return violation;
        return m_cluster.allOwnedOnce() ? "" : "not every worker has one owner after all failures were repaired";
    }
    size_t startCount() const { return m_cluster.startCount(); }

private:
    static constexpr int steps = 14;

    uint64_t pick(uint64_t bound) { return m_random() % bound; }
    FakeWorker& anyWorker() { return *m_cluster.workers[pick(m_cluster.workers.size())]; }
    size_t anyDaemon() { return pick(m_cluster.live.size()); }

    void injectFailure()
    {
        const size_t number = anyDaemon();
        Cluster::Daemon& daemon = *m_cluster.live[number];
        switch (pick(14)) {
        case 0:
            daemon.process.kill();
            break;
        case 1:
            daemon.process.kill();
            m_cluster.startDaemon(number);
            break;
        case 2:
        case 3:
            daemon.process.pause();
            break;
        case 4:
            daemon.process.resume();
            break;
        case 5:
            m_cluster.network.cut(daemon.address, m_cluster.addresses[anyDaemon()]);
            break;
        case 6:
            m_cluster.network.cut(daemon.address, anyWorker().address());
            break;
        case 7:
            m_cluster.network.cut(anyWorker().address(), daemon.address);
            break;
        case 8:
            m_cluster.store.isDown = !m_cluster.store.isDown;
            break;
        case 9:
            anyWorker().reboot();
            break;
        case 10:
            daemon.process.post([&] { daemon.membership.setDraining(!daemon.membership.self().draining); });
            break;
        case 11:
            degradeNetwork();
            break;
        case 12:
            m_cluster.network.heal();
            break;
        case 13:
            stopGracefully(number);
            break;
        }
    }
    void stopGracefully(size_t number)
    {
        Cluster::Daemon& daemon = *m_cluster.live[number];
        daemon.process.post([this, number, &daemon] {
            daemon.membership.setDraining(true);
            daemon.fleet.drain([this, number, &daemon] {
                daemon.membership.leave([] {});
                daemon.process.kill();
                m_cluster.startDaemon(number);
            });
        });
    }
    void degradeNetwork()
    {
        m_cluster.network.heal();
        m_cluster.network.setMaximumDelay(std::chrono::milliseconds(1 + pick(1500)));
        m_cluster.network.setLossPerMille(pick(300));
        m_cluster.network.setDuplicatesPerMille(pick(300));
    }
    void runWithTasksEnding(Common::Duration span)
    {
        for (Common::Duration passed {}; passed < span; passed += 100ms) {
            m_cluster.run(100ms);
            anyWorker().endTask();
        }
    }
    void repairAll()
    {
        m_cluster.network.heal();
        m_cluster.store.isDown = false;
        for (size_t number = 0; number < m_cluster.live.size(); ++number) {
            if (m_cluster.live[number]->process.isKilled())
                m_cluster.startDaemon(number);
            m_cluster.live[number]->process.resume();
            m_cluster.live[number]->membership.setDraining(false);
        }
    }

    std::mt19937_64 m_random;
    Cluster m_cluster;
};

} // namespace

TEST_CASE("no failure overfills a worker, and every worker has one owner again once the failures are repaired")
{
    const uint64_t only = numberFromEnvironment("LC_SEED", 0);
    const uint64_t first = only ? only : 1;
    const uint64_t last = only ? only : numberFromEnvironment("LC_SCHEDULES", defaultSchedules);
    size_t starts = 0;
    for (uint64_t seed = first; seed <= last; ++seed) {
        Schedule schedule(seed);
        const std::string result = schedule.run();
        starts += schedule.startCount();
        CHECK_MESSAGE(result.empty(), "LC_SEED=", seed, ": ", result);
    }
    MESSAGE("schedules ", last - first + 1, ", starts ", starts);
    CHECK(starts > (last - first + 1) * 10);
}
