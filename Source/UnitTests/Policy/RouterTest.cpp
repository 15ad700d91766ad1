// Requests are forwarded to near peers that have room and make progress.
#include "Policy/Router.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Policy;
using namespace std::chrono_literals;
using Common::DaemonId;
using Common::MonotonicTime;
using Scheduler::PeerInfo;
using Scheduler::SpillScope;
using Scope = Router::Scope;

namespace {

PeerInfo peer(const std::string& id, const std::string& domain, const std::string& region, int64_t freeSlots)
{
    return PeerInfo { .id = DaemonId(id),
        .domain = Common::DomainId(domain),
        .region = Common::RegionId(region),
        .freeSlots = freeSlots };
}

struct Fixture {
    LinkBudget link { 1000, 1000 };
    Router router { {}, link };
    std::mt19937_64 random { 1 };
    MonotonicTime now { 1h };
    RouteQuery query { .self = peer("self", "levis", "est", 0),
        .peers
        = { peer("near", "levis", "est", 5), peer("other", "charlevoix", "est", 5), peer("far", "magog", "sud", 5) },
        .spill = SpillScope::Everywhere,
        .bytes = 500,
        .timeLeft = 2s };

    std::vector<std::string> order()
    {
        std::vector<std::string> ids;
        for (const Router::Candidate& candidate : router.choose(query, now, random))
            ids.push_back(candidate.daemon.value());
        return ids;
    }
    bool offers(const std::string& id)
    {
        const auto ids = order();
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }
};

using Order = std::vector<std::string>;

} // namespace

TEST_CASE("near peers come before far ones, and this daemon comes first with room and last without")
{
    Fixture f;
    CHECK(f.order() == Order { "near", "other", "far", "self" });
    f.query.self.freeSlots = 1;
    CHECK(f.order() == Order { "self", "near", "other", "far" });
    f.query.spill = SpillScope::Region;
    CHECK(f.order() == Order { "self", "near", "other" });
    f.query.self.draining = true;
    f.query.peers[0].draining = true;
    CHECK(f.order() == Order { "other" });
}

TEST_CASE("an exhausted link budget excludes the other region")
{
    Fixture f;
    CHECK(f.link.take(600, f.now));
    CHECK_FALSE(f.offers("far"));
    f.now += 1s;
    CHECK(f.offers("far"));
}

TEST_CASE("calls in flight since the last summary reduce a peer's room until they are answered")
{
    Fixture f;
    f.query.peers = { peer("far", "magog", "sud", 3) };
    for (int i = 0; i < 3; ++i) {
        REQUIRE(f.offers("far"));
        f.router.onSent(DaemonId("far"), f.now);
    }
    CHECK_FALSE(f.offers("far"));
    f.router.onAnswered(DaemonId("far"), 10ms, false, f.now);
    CHECK(f.offers("far"));
    f.router.onSent(DaemonId("far"), f.now);
    CHECK_FALSE(f.offers("far"));
    f.router.onLoadSummary(DaemonId("far"), f.now);
    CHECK(f.offers("far"));
}

TEST_CASE("a peer of the region without room comes after one with room, and is skipped right after a refusal")
{
    Fixture f;
    f.query.peers = { peer("full", "levis", "est", 0), peer("near", "levis", "est", 5) };
    int fullFirst = 0;
    for (int i = 0; i < 100; ++i)
        fullFirst += f.order().front() == "full";
    // Both random draws select it in a quarter of the cases.
    CHECK(fullFirst < 40);
    CHECK(f.offers("full"));
    f.router.onSent(DaemonId("full"), f.now);
    f.router.onAnswered(DaemonId("full"), 1ms, true, f.now);
    CHECK_FALSE(f.offers("full"));
    f.now += 50ms;
    CHECK(f.offers("full"));
}

TEST_CASE("a silent peer is skipped, probed occasionally and used again after its first answer")
{
    Fixture f;
    for (int i = 0; i < 2; ++i) {
        f.router.onSent(DaemonId("near"), f.now);
        f.router.onNoAnswer(DaemonId("near"), f.now);
    }
    f.router.onLoadSummary(DaemonId("near"), f.now);
    CHECK_FALSE(f.offers("near"));
    f.now += 3s;
    CHECK(f.offers("near"));
    f.router.onSent(DaemonId("near"), f.now);
    CHECK_FALSE(f.offers("near"));
    f.router.onAnswered(DaemonId("near"), 10ms, false, f.now + 10ms);
    CHECK(f.offers("near"));
}

TEST_CASE("a peer whose open calls make no progress is skipped before any call times out")
{
    Fixture f;
    for (int i = 0; i < 4; ++i)
        f.router.onSent(DaemonId("near"), f.now);
    CHECK(f.offers("near"));
    f.now += 400ms;
    f.router.onSent(DaemonId("near"), f.now);
    f.router.onLoadSummary(DaemonId("near"), f.now);
    CHECK_FALSE(f.offers("near"));
}

TEST_CASE("a peer that usually answers too late for this request is skipped")
{
    Fixture f;
    for (int i = 0; i < 3; ++i) {
        f.router.onSent(DaemonId("far"), f.now);
        f.router.onAnswered(DaemonId("far"), 1500ms, false, f.now);
    }
    CHECK_FALSE(f.offers("far"));
    f.query.timeLeft = 10s;
    CHECK(f.offers("far"));
}
