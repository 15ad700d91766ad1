// Tests that accepted configuration comes into force on every reachable daemon and never reverts.
#include "Config/ConfigService.h"

#include "Config/ConfigCluster.h"
#include "Scheduler/ClusterConfig.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Config;
using Common::ChangeId;
using Common::ConfigRevision;
using ConfigFakes::Cluster;

namespace {

constexpr Common::Duration maximumPropagationTime = 12s;

std::string documentWith(uint64_t deadline)
{
    return R"({"profiles": {"previews": {"deadline": ")" + std::to_string(deadline) + R"(ms"}}} // by hand)";
}

struct ThreeDomainCluster : Cluster {
    explicit ThreeDomainCluster(uint64_t seed)
        : Cluster(seed)
    {
        for (const char* host : { "catania-1", "catania-2", "catania-3" })
            add(host, "catania-yard", "sic-est");
        for (const char* host : { "siracusa-1", "siracusa-2" })
            add(host, "siracusa-shed", "sic-est");
        for (const char* host : { "trapani-1", "trapani-2" })
            add(host, "trapani-loft", "sic-ovest");
    }
};

/// An operator's change and how it ended.
struct Change {
    std::string id;
    std::optional<ApplyOutcome> outcome;

    bool accepted() const { return outcome && std::holds_alternative<ChangeAccepted>(*outcome); }
    bool conflicted() const { return outcome && std::holds_alternative<ChangeConflict>(*outcome); }
    std::optional<Common::ErrorCode> failure() const
    {
        const auto* const failure = outcome ? std::get_if<Common::Failure>(&*outcome) : nullptr;
        return failure ? std::optional(failure->code) : std::nullopt;
    }
};

std::shared_ptr<Change> apply(
    Cluster& cluster, size_t host, uint64_t base, const std::string& id, const std::string& text)
{
    auto change = std::make_shared<Change>(Change { id, {} });
    cluster.service(host).apply(ConfigRevision { base }, ChangeId(id), "anna", text, [change](ApplyOutcome outcome) {
        CHECK_FALSE(change->outcome);
        change->outcome = std::move(outcome);
    });
    return change;
}

/// Applies a change on `base` and waits until it is in force on every daemon.
void applyEverywhere(Cluster& cluster, uint64_t base)
{
    const auto change = apply(cluster, 0, base, "change-" + std::to_string(base + 1), documentWith(base + 1));
    cluster.runtime.advance(maximumPropagationTime);
    REQUIRE(change->accepted());
    REQUIRE(cluster.allHave(base + 1));
}

size_t timesAccepted(const Cluster& cluster, const std::string& id)
{
    return static_cast<size_t>(std::count_if(cluster.store.accepted.begin(), cluster.store.accepted.end(),
        [&](const ConfigDocument& document) { return document.change.value() == id; }));
}

} // namespace

TEST_CASE("a first change comes into force on every daemon")
{
    ThreeDomainCluster cluster(1);
    cluster.runtime.advance(5s);
    CHECK(cluster.service(3).current() == nullptr);
    applyEverywhere(cluster, 0);
    const auto config = cluster.service(5).current();
    REQUIRE(config);
    CHECK(config->revision.value == 1);
    CHECK(config->profiles.at(Common::ProfileName("previews")).deadline == Common::Duration(1ms));
    CHECK(cluster.service(5).document()->text == documentWith(1));
}

TEST_CASE("of concurrent changes exactly one is accepted and the others get the difference")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        applyEverywhere(cluster, 0);
        std::vector<std::shared_ptr<Change>> changes;
        for (size_t host = 0; host < cluster.size(); ++host)
            changes.push_back(apply(cluster, host, 1, "race-" + std::to_string(host), documentWith(100 + host)));
        cluster.runtime.advance(maximumPropagationTime);
        const auto winners
            = std::count_if(changes.begin(), changes.end(), [](const auto& each) { return each->accepted(); });
        CHECK(winners == 1);
        for (const auto& change : changes) {
            if (change->accepted())
                continue;
            REQUIRE(change->conflicted());
            const auto& conflict = std::get<ChangeConflict>(*change->outcome);
            CHECK(conflict.base.value == 1);
            CHECK(conflict.current.value == 2);
            REQUIRE(conflict.difference.size() == 1);
            CHECK(conflict.difference[0].path == "profiles.previews.deadline");
        }
        CHECK(cluster.allHave(2));
    }
}

TEST_CASE("a change whose answers are lost is accepted at most once and its outcome is reported truthfully")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        applyEverywhere(cluster, 0);
        cluster.store.lostAnswers = 30;
        cluster.store.lateWrites = 20;
        cluster.store.lostWrites = 20;
        const auto change = apply(cluster, seed % 7, 1, "mine", documentWith(77));
        cluster.runtime.advance(30s);
        REQUIRE(change->outcome);
        CHECK_FALSE(change->conflicted());
        CHECK(timesAccepted(cluster, "mine") <= 1);
        if (change->accepted())
            CHECK(timesAccepted(cluster, "mine") == 1);
        if (change->failure() == Common::ErrorCode::StoreUnavailable)
            CHECK(timesAccepted(cluster, "mine") == 0);
    }
}

TEST_CASE("a change repeated with the same id is accepted once, also after later changes")
{
    ThreeDomainCluster cluster(3);
    applyEverywhere(cluster, 0);
    applyEverywhere(cluster, 1);
    const auto again = apply(cluster, 4, 1, "change-2", documentWith(2));
    applyEverywhere(cluster, 2);
    const auto late = apply(cluster, 5, 1, "change-2", documentWith(2));
    cluster.runtime.advance(5s);
    for (const auto& change : { again, late }) {
        REQUIRE(change->accepted());
        CHECK(std::get<ChangeAccepted>(*change->outcome).revision.value == 2);
    }
    CHECK(timesAccepted(cluster, "change-2") == 1);
    CHECK(cluster.allHave(3));
}

TEST_CASE("a repeated change is recognized although its first writer stopped before it wrote the history")
{
    ThreeDomainCluster cluster(12);
    applyEverywhere(cluster, 0);
    applyEverywhere(cluster, 1);
    cluster.store.values.erase("config/history/0000000002");
    applyEverywhere(cluster, 2);
    const auto again = apply(cluster, 3, 1, "change-2", documentWith(2));
    cluster.runtime.advance(5s);
    REQUIRE(again->accepted());
    CHECK(std::get<ChangeAccepted>(*again->outcome).revision.value == 2);
}

TEST_CASE("an invalid document and one edited from a wrong revision write nothing")
{
    ThreeDomainCluster cluster(4);
    applyEverywhere(cluster, 0);
    const auto faulty = apply(cluster, 0, 1, "faulty", R"({"profiles": {"a": {"deadlin": "1s"}}})");
    const auto early = apply(cluster, 0, 0, "early", documentWith(5));
    const auto ahead = apply(cluster, 0, 7, "ahead", documentWith(5));
    const auto nameless = apply(cluster, 0, 1, "", documentWith(5));
    const auto notUtf8 = apply(cluster, 0, 1, "bytes", documentWith(5) + "\xff");
    cluster.runtime.advance(5s);
    REQUIRE(faulty->outcome);
    CHECK(std::get<ChangeRejected>(*faulty->outcome).faults.at(0).nearest == "deadline");
    CHECK(early->conflicted());
    CHECK(ahead->conflicted());
    CHECK(nameless->failure() == Common::ErrorCode::MalformedRequest);
    CHECK(std::holds_alternative<ChangeRejected>(*notUtf8->outcome));
    CHECK(cluster.store.accepted.size() == 1);
}

TEST_CASE("while the store is down a change is refused and the revision in force stays")
{
    ThreeDomainCluster cluster(5);
    applyEverywhere(cluster, 0);
    cluster.store.down = true;
    const auto change = apply(cluster, 2, 1, "refused", documentWith(9));
    cluster.runtime.advance(1h);
    CHECK(change->failure() == Common::ErrorCode::StoreUnavailable);
    CHECK(cluster.allHave(1));
    cluster.store.down = false;
    applyEverywhere(cluster, 1);
}

TEST_CASE("a new daemon learns the configuration from a peer while the store is down")
{
    ThreeDomainCluster cluster(6);
    applyEverywhere(cluster, 0);
    cluster.store.down = true;
    cluster.kill(0);
    cluster.boot(0);
    CHECK(cluster.service(0).current() == nullptr);
    cluster.runtime.advance(maximumPropagationTime);
    CHECK(cluster.revisionOf(0) == 1);
}

TEST_CASE("a change is in force within 12 s although watches are lost")
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        applyEverywhere(cluster, 0);
        // One lost watch for each of the three watchers.
        const uint32_t watchers = 3;
        cluster.store.silentWatches = seed % 2 == 0 ? watchers : 0;
        cluster.store.emptyWatches = seed % 2 == 0 ? 0 : watchers;
        cluster.runtime.advance(std::chrono::milliseconds(seed * 97));
        const auto change = apply(cluster, seed % 7, 1, "late", documentWith(2));
        cluster.runtime.advance(maximumPropagationTime);
        CHECK(change->accepted());
        CHECK(cluster.allHave(2));
    }
}

TEST_CASE("a change whose writer stops at once is in force within 12 s although watches are lost")
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        applyEverywhere(cluster, 0);
        cluster.store.silentWatches = seed % 2 == 0 ? 3 : 0;
        cluster.store.emptyWatches = seed % 2 == 0 ? 0 : 3;
        // By now every watcher has sent its next watch, and none of these watches has ended.
        cluster.runtime.advance(std::chrono::milliseconds(4050 + seed));
        const ConfigDocument orphan { ConfigRevision { 2 }, ChangeId("orphan"), "anna", 0, documentWith(2) };
        const Common::StoreRevision held = cluster.store.values.at("config/current").revision;
        REQUIRE(cluster.store.swap("config/current", held, toJson(orphan).dump()));
        cluster.runtime.advance(maximumPropagationTime);
        CHECK(cluster.allHave(2));
    }
}

TEST_CASE("a domain that is cut off only from the store learns from another domain")
{
    // No watch is answered, so watchers learn nothing from the store.
    ThreeDomainCluster cluster(7);
    applyEverywhere(cluster, 0);
    cluster.store.silentWatches = 1000;
    apply(cluster, 0, 1, "change-2", documentWith(2));
    cluster.runtime.advance(maximumPropagationTime);
    CHECK(cluster.allHave(2));
}

TEST_CASE("a cut-off domain keeps its revision, and has none rather than an older one after all its daemons restart")
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        applyEverywhere(cluster, 0);
        cluster.cutDomains.insert("trapani-loft");
        const auto change = apply(cluster, 0, 1, "change-2", documentWith(2));
        cluster.runtime.advance(maximumPropagationTime);
        CHECK(change->accepted());
        CHECK(cluster.revisionOf(4) == 2);
        CHECK(cluster.revisionOf(5) == 1);
        // One of the two daemons restarts and learns the revision from the other.
        cluster.kill(5);
        cluster.boot(5);
        cluster.runtime.advance(maximumPropagationTime);
        CHECK(cluster.revisionOf(5) == 1);
        // Both restart, so no daemon in the domain knows a revision.
        cluster.kill(5);
        cluster.kill(6);
        cluster.boot(5);
        cluster.boot(6);
        cluster.runtime.advance(1min);
        CHECK(cluster.service(5).current() == nullptr);
        CHECK(cluster.service(6).current() == nullptr);
        cluster.cutDomains.clear();
        cluster.runtime.advance(maximumPropagationTime);
        CHECK(cluster.allHave(2));
    }
}

TEST_CASE("late and repeated old documents never revert the configuration, and invalid ones are refused")
{
    ThreeDomainCluster cluster(8);
    applyEverywhere(cluster, 0);
    applyEverywhere(cluster, 1);
    cluster.store.down = true;
    // The peers report revision 2 but answer with revision 1.
    cluster.forgedAnswer = ConfigDocument { ConfigRevision { 1 }, ChangeId("change-1"), "anna", 0, documentWith(1) };
    cluster.kill(1);
    cluster.boot(1);
    cluster.runtime.advance(maximumPropagationTime);
    CHECK(cluster.revisionOf(1) == 1);
    cluster.forgedAnswer->text = "{\"profiles\": 5}";
    cluster.forgedAnswer->revision = ConfigRevision { 2 };
    cluster.runtime.advance(maximumPropagationTime);
    CHECK(cluster.revisionOf(1) == 1);
    cluster.forgedAnswer.reset();
    cluster.store.down = false;
    applyEverywhere(cluster, 2);
}

TEST_CASE("one daemon per domain watches the store, at a bounded rate of calls")
{
    ThreeDomainCluster cluster(9);
    applyEverywhere(cluster, 0);
    cluster.runtime.advance(1min);
    const uint64_t before = cluster.store.calls;
    cluster.runtime.advance(10min);
    const uint64_t perDomain = (cluster.store.calls - before) / 3;
    // One watch per 4 s and one read per 2 min, with some slack for the step after a read.
    CHECK(perDomain <= 600 / 4 + 600 / 120 + 5);
    cluster.store.down = true;
    cluster.runtime.advance(10s);
    const uint64_t beforeOutage = cluster.store.calls;
    cluster.runtime.advance(10min);
    CHECK(cluster.store.calls - beforeOutage <= 3 * 600);
}

TEST_CASE("the history holds accepted changes and drops the oldest")
{
    ThreeDomainCluster cluster(10);
    for (uint64_t base = 0; base < 3; ++base)
        applyEverywhere(cluster, base);
    std::vector<ConfigDocument> entries;
    const auto take = [&](const Common::Result<std::vector<ConfigDocument>>& result) {
        REQUIRE(result);
        entries = *result;
    };
    cluster.service(6).history(10, take);
    cluster.runtime.advance(1s);
    REQUIRE(entries.size() == 3);
    CHECK(entries[0].change == ChangeId("change-3"));
    CHECK(entries[2].text == documentWith(1));
    cluster.service(6).history(2, take);
    cluster.runtime.advance(1s);
    CHECK(entries.size() == 2);
    const uint64_t kept = ConfigServiceOptions {}.historyKept;
    for (uint64_t base = 3; base < kept + 2; ++base) {
        apply(cluster, 0, base, "many-" + std::to_string(base), documentWith(base));
        cluster.runtime.advance(1s);
    }
    CHECK(cluster.store.values.count("config/history/0000000002") == 0);
    CHECK(cluster.store.values.count("config/history/0000000003") == 1);
}

TEST_CASE("the status shows daemons without the latest revision, also those that are no longer live")
{
    ThreeDomainCluster cluster(11);
    applyEverywhere(cluster, 0);
    cluster.cutDomains.insert("trapani-loft");
    cluster.runtime.advance(1s);
    apply(cluster, 0, 1, "change-2", documentWith(2));
    cluster.runtime.advance(maximumPropagationTime);
    const ConfigStatus status = cluster.service(0).status();
    CHECK(status.latest.value == 2);
    REQUIRE(status.rows.size() == 7);
    for (const ConfigStatus::Row& row : status.rows) {
        const bool cutOff = row.daemon.domain.value() == "trapani-loft";
        CHECK(row.current == !cutOff);
        CHECK(row.live == !cutOff);
    }
}

TEST_CASE(
    "under random faults changes are accepted at most once, reported truthfully and in force everywhere in the end")
{
    for (uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        ThreeDomainCluster cluster(seed);
        std::mt19937_64 random(seed * 7919);
        std::vector<std::shared_ptr<Change>> changes;
        for (int step = 0; step < 40; ++step) {
            const size_t host = random() % cluster.size();
            switch (random() % 8) {
            case 0:
                cluster.store.down = random() % 3 == 0;
                break;
            case 1:
                cluster.store.lostAnswers = random() % 40;
                cluster.store.lateWrites = random() % 40;
                cluster.store.lostWrites = random() % 20;
                break;
            case 2:
                cluster.cutDomains.clear();
                if (random() % 2 == 0)
                    cluster.cutDomains.insert(random() % 2 == 0 ? "trapani-loft" : "siracusa-shed");
                break;
            case 3:
                if (cluster.isRunning(host))
                    cluster.kill(host);
                cluster.boot(host);
                break;
            case 4:
                cluster.store.silentWatches = random() % 4;
                cluster.store.emptyWatches = random() % 4;
                break;
            default:
                changes.push_back(apply(cluster, host, cluster.revisionOf(host),
                    "change-" + std::to_string(changes.size()), documentWith(1 + random() % 1000)));
            }
            cluster.runtime.advance(std::chrono::milliseconds(random() % 4000));
            for (size_t each = 0; each < cluster.size(); ++each) {
                if (const auto document = cluster.service(each).document())
                    CHECK(*document == cluster.store.accepted.at(document->revision.value - 1));
            }
        }
        cluster.store.down = false;
        cluster.cutDomains.clear();
        cluster.store.lostAnswers = cluster.store.lateWrites = cluster.store.lostWrites = 0;
        cluster.store.silentWatches = cluster.store.emptyWatches = 0;
        cluster.runtime.advance(1min);
        CHECK(cluster.allHave(cluster.store.accepted.size()));
        CHECK(cluster.revisionsOnlyGrew());
        for (size_t index = 0; index < cluster.store.accepted.size(); ++index)
            CHECK(cluster.store.accepted[index].revision.value == index + 1);
        for (const auto& change : changes) {
            const size_t times = timesAccepted(cluster, change->id);
            CHECK(times <= 1);
            if (change->accepted())
                CHECK(times == 1);
            if (change->conflicted() || change->failure() == Common::ErrorCode::StoreUnavailable)
                CHECK(times == 0);
        }
    }
}
