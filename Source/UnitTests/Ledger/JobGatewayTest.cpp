// Job calls made through any daemon reach the owner of the shard.
#include "Ledger/JobGateway.h"

#include "Ledger/JobWorld.h"
#include "Ledger/TestPeers.h"

#include <doctest/doctest.h>

using namespace Ledger;
using namespace LedgerTests;
using namespace std::chrono_literals;

namespace {

struct Cluster {
    Cluster()
    {
        world.settings.shardCount = 8;
        world.workers.faults.longestRun = std::chrono::hours(1);
        for (const char* name : { "a", "b", "c" }) {
            JobDaemon& daemon = world.add(name);
            ports.push_back(peers.port(name));
            gateways.push_back(std::make_unique<JobGateway>(
                daemon.context, daemon.owners, daemon.jobs, daemon.members, *ports.back(), world.settings));
            gateways.back()->start();
        }
        for (const auto& daemon : world.daemons)
            daemon->members.see({ "a", "b", "c" });
        world.runtime.advance(10s);
    }
    std::optional<Common::Result<JobService::Accepted>> submit(int gateway, const JobSubmission& submission)
    {
        std::optional<Common::Result<JobService::Accepted>> answer;
        gateways.at(gateway)->submit(submission, [&](const auto& result) { answer = result; });
        world.runtime.advance(15s);
        return answer;
    }

    JobWorld world { 1, 4 };
    TestPeers peers { world.runtime };
    std::vector<std::unique_ptr<Scheduler::PeerPort>> ports;
    std::vector<std::unique_ptr<JobGateway>> gateways;
};

} // namespace

TEST_CASE("a job is submitted, looked up, listed and cancelled through any daemon")
{
    Cluster cluster;
    size_t owned = 0;
    for (const auto& daemon : cluster.world.daemons)
        owned += daemon->owners.ownedShards().size();
    CHECK(owned == 8);
    std::vector<Common::JobId> jobs;
    for (int number = 0; number < 12; ++number) {
        const auto accepted
            = cluster.submit(number % 3, JobWorld::submission(number == 0 ? "" : "k" + std::to_string(number)));
        REQUIRE(accepted);
        REQUIRE(accepted->hasValue());
        jobs.push_back((*accepted)->job);
    }
    for (const auto& gateway : cluster.gateways) {
        std::optional<JobStatus> status;
        gateway->get(jobs.front(), [&](const auto& result) { status = result.value(); });
        std::vector<JobStatus> listed;
        gateway->list({ .team = Common::TeamName("t1") }, [&](const auto& result) { listed = *result; });
        cluster.world.runtime.advance(5s);
        REQUIRE(status);
        CHECK(status->state == JobState::Running);
        CHECK(status->attempts.size() == 1);
        CHECK(listed.size() == 12);
    }
    std::vector<JobGateway::CancelResult> cancelled;
    const uint64_t calls = cluster.peers.calls["jobs.cancel"];
    jobs.emplace_back("nonsense");
    cluster.gateways[0]->cancelMany(jobs, [&](const auto& results) { cancelled = *results; });
    cluster.world.runtime.advance(5s);
    REQUIRE(cancelled.size() == 13);
    for (const auto& result : cancelled)
        CHECK(result.failure.has_value() == (result.job.value() == "nonsense"));
    CHECK(cluster.peers.calls["jobs.cancel"] - calls <= 2);
}

TEST_CASE("a submission whose answer is lost is repeated under the same key and creates one job")
{
    Cluster cluster;
    const auto owner = cluster.world.daemons[0]->owners.assignedOwner(cluster.world.daemons[0]->owners.shardOf("k"));
    const int elsewhere = owner->id.value() == "a" ? 1 : 0;
    cluster.peers.loseAnswerOf = "jobs.submit";
    const auto accepted = cluster.submit(elsewhere, JobWorld::submission("k"));
    REQUIRE(accepted);
    REQUIRE(accepted->hasValue());
    CHECK((*accepted)->known);
    CHECK(cluster.world.workers.journal.size() == 1);
}

TEST_CASE("other daemons take over the shards of a drained daemon, and running tasks continue")
{
    Cluster cluster;
    std::vector<Common::JobId> jobs;
    jobs.reserve(9);
    for (int number = 0; number < 9; ++number)
        jobs.push_back((*cluster.submit(0, JobWorld::submission("k" + std::to_string(number))))->job);
    REQUIRE(cluster.world.workers.journal.size() == 9);
    bool drained = false;
    cluster.world.daemons[1]->owners.drain([&] { drained = true; });
    for (const auto& daemon : cluster.world.daemons)
        daemon->members.see({ "a", "c" });
    cluster.world.runtime.advance(10s);
    CHECK(drained);
    CHECK(cluster.world.daemons[0]->owners.ownedShards().size() + cluster.world.daemons[2]->owners.ownedShards().size()
        == 8);
    for (const Common::JobId& job : jobs) {
        std::optional<JobStatus> status;
        cluster.gateways[0]->get(job, [&](const auto& result) { status = result.value(); });
        cluster.world.runtime.advance(1s);
        REQUIRE(status);
        CHECK(status->state == JobState::Running);
        CHECK(status->attempts.size() == 1);
    }
    CHECK(cluster.world.workers.journal.size() == 9);
}

TEST_CASE("shard owners share a quota and exceed it by at most one task per daemon")
{
    Cluster cluster;
    for (int number = 0; number < 12; ++number)
        cluster.submit(number % 3, JobWorld::submission("q" + std::to_string(number), "batch", "small"));
    cluster.world.runtime.advance(60s);
    CHECK(cluster.world.workers.journal.size() >= 2);
    CHECK(cluster.world.workers.journal.size() <= 2 + 2);
}
