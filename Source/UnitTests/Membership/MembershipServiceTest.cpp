// Discovery of daemons and detection of those that stopped.
#include "Cluster.h"

#include <doctest/doctest.h>

using namespace Fakes;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> liveIds(const Cluster& cluster, size_t number)
{
    std::vector<std::string> ids;
    for (const Scheduler::PeerInfo& peer : cluster.live[number]->membership.livePeers())
        ids.push_back(peer.id.value());
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("daemons find each other by seeds while the store is down, and by the store without seeds")
{
    for (const bool withSeeds : { true, false }) {
        Cluster cluster(1, 0, 0, withSeeds);
        cluster.withSeeds = withSeeds;
        cluster.live.resize(3, nullptr);
        for (const size_t number : { 0, 1, 2 }) {
            // A daemon's seeds are the daemons started before it.
            cluster.addresses.push_back("d" + std::to_string(number));
            cluster.startDaemon(number);
            cluster.run(1s);
        }
        cluster.run(5s);
        CHECK(liveIds(cluster, 0) == Ids { "d0@0", "d1@1", "d2@2" });
        CHECK(liveIds(cluster, 1) == liveIds(cluster, 0));
    }
}

TEST_CASE("a silent daemon is down after its timeout, a new one at its address replaces it at once")
{
    Cluster cluster(2, 3, 0);
    cluster.run(5s);
    REQUIRE(liveIds(cluster, 0) == Ids { "d0@0", "d1@1", "d2@2" });
    cluster.live[1]->process.kill();
    cluster.startDaemon(1);
    cluster.run(700ms);
    CHECK(liveIds(cluster, 0) == Ids { "d0@0", "d1@3", "d2@2" });
    cluster.live[1]->process.kill();
    cluster.run(1s);
    CHECK(liveIds(cluster, 0).size() == 3);
    cluster.run(2s);
    CHECK(liveIds(cluster, 0) == Ids { "d0@0", "d2@2" });
    CHECK(liveIds(cluster, 2) == liveIds(cluster, 0));
}

TEST_CASE("draining and leaving reach the peers at once, and listeners are called")
{
    Cluster cluster(3, 2, 0);
    cluster.run(5s);
    int changes = 0;
    cluster.live[0]->membership.onChange([&] { ++changes; });
    cluster.live[1]->membership.setDraining(true);
    cluster.run(50ms);
    CHECK(changes == 1);
    CHECK(cluster.live[0]->membership.find(Common::DaemonId("d1@1"))->draining);
    bool left = false;
    cluster.live[1]->membership.leave([&] { left = true; });
    cluster.run(50ms);
    CHECK(left);
    CHECK(changes == 2);
    CHECK(liveIds(cluster, 0) == Ids { "d0@0" });
    cluster.run(20s);
    CHECK(liveIds(cluster, 0) == Ids { "d0@0" });
}

TEST_CASE("heartbeats carry the load and the configuration revision")
{
    Cluster cluster(4, 2, 0);
    cluster.run(3s);
    cluster.live[1]->membership.updateLoad(3, 8, 5);
    cluster.live[1]->membership.setConfigRevision(Common::ConfigRevision { 7 });
    cluster.run(1500ms);
    const auto peer = cluster.live[0]->membership.find(Common::DaemonId("d1@1"));
    REQUIRE(peer);
    CHECK(peer->freeSlots == 3);
    CHECK(peer->totalSlots == 8);
    CHECK(peer->queuedRequests == 5);
    CHECK(peer->configRevision.value == 7);
}

TEST_CASE("malformed heartbeats and host lists are rejected")
{
    CHECK(!Membership::heartbeatFromJson(nlohmann::json::parse(R"({"id": 5})")));
    CHECK(!Membership::heartbeatFromJson(nlohmann::json::array()));
    CHECK(!Membership::hostListFromJson(nlohmann::json::parse(R"({"wall": 1, "counter": 0, "digest": "x"})")));
}
