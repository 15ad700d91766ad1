// Assignment and takeover of workers, with fakes for the network, the store and the workers.
#include "Cluster.h"

#include <doctest/doctest.h>

using namespace Fakes;
using namespace std::chrono_literals;

namespace {

/// Runs the cluster until `condition` holds; returns the virtual time that took, or the limit.
template <typename Condition> Common::Duration timeUntil(Cluster& cluster, Common::Duration limit, Condition condition)
{
    Common::Duration passed {};
    while (passed < limit && !condition()) {
        cluster.run(50ms);
        passed += 50ms;
    }
    return passed;
}

} // namespace

TEST_CASE("workers are spread over the daemons, and each is owned by the daemon that it is assigned to")
{
    Cluster cluster(1, 3, 30);
    cluster.run(20s);
    CHECK(cluster.allOwnedOnce());
    for (const Cluster::Daemon* daemon : cluster.live) {
        CHECK(daemon->fleet.owned().size() > 3);
        for (const Common::WorkerId& worker : daemon->fleet.owned())
            CHECK(daemon->fleet.assignedOwner(worker) == daemon->membership.self().id);
    }
    CHECK(cluster.firstViolation() == "");
}

TEST_CASE("with the store down, survivors own a killed daemon's workers within detection, wait and two sync intervals")
{
    Common::Duration longest {};
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(seed, 3, 12);
        cluster.run(10s);
        REQUIRE(cluster.allOwnedOnce());
        cluster.store.isDown = true;
        cluster.run(30s);
        cluster.live[0]->process.kill();
        const auto takeover = timeUntil(cluster, 30s, [&] { return cluster.allOwnedOnce(); });
        const Membership::MembershipSettings membership;
        const Membership::FleetSettings fleet;
        const Common::Duration detection = membership.heartbeatInterval * (membership.silentIntervals + 1);
        CHECK_MESSAGE(takeover <= detection + fleet.ownership.startWindow + fleet.syncInterval * 2, "seed ", seed);
        longest = std::max(longest, takeover);
    }
    MESSAGE("longest takeover ", longest.count() / 1000, " ms");
}

TEST_CASE("daemons that start while the store is down own nothing without a host list, and find each other by seeds")
{
    Cluster cluster(3, 2, 4, true);
    cluster.run(20s);
    CHECK(cluster.live[0]->membership.livePeers().size() == 2);
    CHECK(cluster.live[0]->fleet.owned().empty());
    cluster.store.isDown = false;
    cluster.run(15s);
    CHECK(cluster.allOwnedOnce());
}

TEST_CASE("a daemon that is replaced during an outage gets the host list from its peer")
{
    Cluster cluster(4, 2, 8);
    cluster.run(10s);
    cluster.store.isDown = true;
    cluster.live[1]->process.kill();
    cluster.startDaemon(1);
    cluster.run(20s);
    CHECK(cluster.allOwnedOnce());
    CHECK(!cluster.live[1]->fleet.owned().empty());
}

TEST_CASE("a draining daemon's workers are idle only briefly, and after the drain its claims are withdrawn")
{
    Cluster cluster(5, 2, 8);
    cluster.run(10s);
    cluster.live[0]->membership.setDraining(true);
    std::map<Common::WorkerId, Common::Duration> idle;
    for (Common::Duration passed {}; passed < 5s; passed += 10ms) {
        cluster.run(10ms);
        for (const auto& worker : cluster.workers)
            idle[worker->id()] += cluster.ownersOf(*worker) == 0 ? 10ms : 0ms;
    }
    for (const auto& [worker, span] : idle)
        CHECK(span <= 1200ms);
    CHECK(cluster.live[0]->fleet.owned().empty());
    CHECK(cluster.live[1]->fleet.owned().size() == 8);
    bool drained = false;
    cluster.live[0]->fleet.drain([&] { drained = true; });
    cluster.run(2s);
    CHECK(drained);
    for (const auto& worker : cluster.workers) {
        for (const Scheduler::WorkerClaim& claim : worker->sync({}).claims)
            CHECK(claim.daemon == cluster.live[1]->membership.self().id);
    }
}

TEST_CASE("an owner keeps its workers while the daemon that they are assigned to can't reach them")
{
    Cluster cluster(6, 2, 6);
    cluster.run(10s);
    cluster.live[0]->process.kill();
    cluster.run(10s);
    REQUIRE(cluster.live[1]->fleet.owned().size() == 6);
    for (const auto& worker : cluster.workers)
        cluster.network.cut("d0", worker->address());
    cluster.startDaemon(0);
    cluster.run(20s);
    CHECK(cluster.live[1]->fleet.owned().size() == 6);
    CHECK(cluster.allOwnedOnce());
}

TEST_CASE("a worker that the daemon it is assigned to can't reach is owned by the second choice")
{
    Cluster cluster(10, 3, 9);
    for (const auto& worker : cluster.workers)
        cluster.network.cut("d0", worker->address());
    cluster.run(30s);
    CHECK(cluster.live[0]->fleet.owned().empty());
    CHECK(cluster.allOwnedOnce());
    cluster.network.heal();
    cluster.run(10s);
    CHECK(!cluster.live[0]->fleet.owned().empty());
    CHECK(cluster.allOwnedOnce());
}

TEST_CASE("daemons that can't reach each other don't take workers from each other")
{
    Cluster cluster(7, 2, 6);
    cluster.run(10s);
    cluster.network.cut("d0", "d1");
    cluster.network.cut("d1", "d0");
    cluster.run(5s);
    const size_t before = cluster.live[0]->fleet.owned().size();
    cluster.run(30s);
    CHECK(cluster.allOwnedOnce());
    CHECK(cluster.live[0]->fleet.owned().size() == before);
}

TEST_CASE("a worker that reports that it is leaving is marked as leaving")
{
    Cluster cluster(8, 1, 1);
    cluster.run(8s);
    cluster.workers[0]->setLeaving(true);
    cluster.run(2s);
    const auto worker = cluster.live[0]->fleet.ownedWorker(cluster.workers[0]->id());
    REQUIRE(worker);
    CHECK(worker->leaving);
}

TEST_CASE("the number of store calls stays within its bound, also in an outage")
{
    Cluster cluster(9, 3, 6);
    cluster.run(20s);
    for (const bool isDown : { false, true }) {
        cluster.store.isDown = isDown;
        cluster.store.calls.clear();
        cluster.run(60s);
        // The domain's lister reads the list every 2 s; during an outage each of the two others adds a read every 8 s.
        CHECK(cluster.store.calls["hosts"] <= (isDown ? 30 + 2 * 8 : 31));
        // Each of the 3 daemons renews every 10 s, or retries every 5 s during an outage.
        CHECK(cluster.store.calls["renew"] <= (isDown ? 3 * 13 : 3 * 7));
        CHECK(cluster.store.calls["list"] <= 3);
        CHECK(cluster.store.calls["write"] == 0);
    }
}
