// Tests of the operators' configuration document: checks, references and round trips.
#include "Config/ClusterConfigParser.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace std::chrono_literals;
using Config::SettingFault;
using Kind = Config::SettingFault::Kind;

namespace {

const char* const valid = R"({
    "profiles": {
        // Customers wait at the counter.
        "previews": { "deadline": "800ms", "priority": "urgent", "spill": "everywhere" },
        "orders": { "idempotent": false, "maximumAttempts": 1 }
    },
    "teams": { "counter": { "maximumConcurrentRequests": 40 }, "glass": { "quota": { "slots": 16 } } },
    "services": { "monograms": { "profile": "previews", "team": "counter", "resources": { "memoryMb": 512 } } }
})";

const SettingFault* find(const std::vector<SettingFault>& faults, const std::string& path, Kind kind)
{
    const auto found = std::find_if(faults.begin(), faults.end(),
        [&](const SettingFault& fault) { return fault.path == path && fault.kind == kind; });
    return found == faults.end() ? nullptr : &*found;
}

Common::Duration randomDuration(std::mt19937_64& random) { return std::chrono::milliseconds(1 + random() % 3'600'000); }

Scheduler::Profile randomProfile(std::mt19937_64& random, const std::string& name)
{
    Scheduler::Profile profile { .name = Common::ProfileName(name) };
    profile.maximumDeadline = randomDuration(random);
    profile.deadline = std::min(profile.maximumDeadline, randomDuration(random));
    profile.idempotent = random() % 2 == 0;
    profile.priority = static_cast<Scheduler::Priority>(random() % 4);
    profile.maximumQueueTime = randomDuration(random);
    profile.maximumQueued = random() % 1'000'000;
    profile.retryBudgetPercent = random() % 101;
    profile.maximumAttempts = 1 + random() % 10;
    profile.spill = static_cast<Scheduler::SpillScope>(random() % 3);
    profile.evictable = random() % 2 == 0;
    profile.minimumRunTime = randomDuration(random);
    profile.maximumJobFailures = 1 + random() % 100;
    return profile;
}

Scheduler::ClusterConfig randomConfig(std::mt19937_64& random)
{
    Scheduler::ClusterConfig config;
    for (uint64_t index = 0; index <= random() % 5; ++index) {
        const std::string name = "p" + std::to_string(index);
        config.profiles.emplace(Common::ProfileName(name), randomProfile(random, name));
    }
    for (uint64_t index = 0; index <= random() % 5; ++index) {
        const Common::TeamName name("t" + std::to_string(index));
        config.teams.emplace(name,
            Scheduler::TeamConfig {
                name, { .slots = int64_t(random() % 100), .memoryMegabytes = 7 }, uint32_t(random() % 99) });
    }
    for (uint64_t index = 0; index < random() % 5; ++index) {
        const Common::ServiceName name("s" + std::to_string(index));
        const Common::Resources need { .slots = 1, .milliCores = int64_t(random() % 64'000), .accelerators = 1 };
        config.services.emplace(
            name, Scheduler::ServiceConfig { name, config.profiles.begin()->first, config.teams.begin()->first, need });
    }
    return config;
}

} // namespace

TEST_CASE("settings that are left out take their defaults")
{
    const auto config = Config::parseClusterConfig(valid);
    REQUIRE_MESSAGE(config, describe(config.faults()));
    const Scheduler::Profile& previews = config->profiles.at(Common::ProfileName("previews"));
    CHECK(previews.name == Common::ProfileName("previews"));
    CHECK(previews.deadline == Common::Duration(800ms));
    CHECK(previews.priority == Scheduler::Priority::Urgent);
    CHECK(previews.spill == Scheduler::SpillScope::Everywhere);
    CHECK(previews.maximumQueued == Scheduler::Profile {}.maximumQueued);
    CHECK_FALSE(config->profiles.at(Common::ProfileName("orders")).idempotent);
    CHECK(config->teams.at(Common::TeamName("glass")).quota.slots == 16);
    const Scheduler::ServiceConfig& service = config->services.at(Common::ServiceName("monograms"));
    CHECK(service.team == Common::TeamName("counter"));
    CHECK(service.resources.memoryMegabytes == 512);
    CHECK(service.resources.slots == 1);
}

TEST_CASE("a reference to an unknown profile or team suggests the nearest known one")
{
    const auto config = Config::parseClusterConfig(R"({
        "profiles": { "previews": {}, "proofs": {} }, "teams": { "counter": {} },
        "services": { "a": { "profile": "preview", "team": "countr" }, "b": { "profile": "previews" } }
    })");
    REQUIRE_FALSE(config);
    CHECK(config.faults().size() == 3);
    const SettingFault* const profile = find(config.faults(), "services.a.profile", Kind::UndefinedReference);
    REQUIRE(profile);
    CHECK(profile->nearest == "previews");
    const SettingFault* const team = find(config.faults(), "services.a.team", Kind::UndefinedReference);
    REQUIRE(team);
    CHECK(team->nearest == "counter");
    CHECK(find(config.faults(), "services.b.team", Kind::Missing));
}

TEST_CASE("a reference to a profile with faults adds no second fault")
{
    const auto config = Config::parseClusterConfig(R"({ "profiles": { "previews": { "deadline": 5 } },
        "teams": { "counter": {} }, "services": { "a": { "profile": "previews", "team": "counter" } } })");
    REQUIRE(config.faults().size() == 1);
    CHECK(config.faults()[0].path == "profiles.previews.deadline");
}

TEST_CASE("names, ranges, types and sections are checked")
{
    const auto config = Config::parseClusterConfig(R"({
        "profile": {}, "teams": [],
        "profiles": { "a b": {}, "slow": { "deadline": "2m" }, "x": 5, "x": { "spill": "world", "deadlin": "1s" } }
    })");
    REQUIRE_FALSE(config);
    CHECK(find(config.faults(), "profile", Kind::UnknownName)->nearest == "profiles");
    CHECK(find(config.faults(), "teams", Kind::WrongType));
    CHECK(find(config.faults(), "profiles.a b", Kind::OutOfRange));
    CHECK(find(config.faults(), "profiles.slow.deadline", Kind::Inconsistent));
    CHECK(find(config.faults(), "profiles.x", Kind::DuplicateKey));
    CHECK(find(config.faults(), "profiles.x.spill", Kind::OutOfRange));
    CHECK(find(config.faults(), "profiles.x.deadlin", Kind::UnknownName)->nearest == "deadline");
    CHECK(config.faults().size() == 7);
}

TEST_CASE("a document that is too long for the store is refused")
{
    const std::string text = "{}" + std::string(400'000, ' ');
    REQUIRE_FALSE(Config::parseClusterConfig(text));
    CHECK(Config::parseClusterConfig(text).faults()[0].kind == Kind::OutOfRange);
}

TEST_CASE("parsing a printed configuration yields an equal one")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const Scheduler::ClusterConfig config = randomConfig(random);
        const std::string text = Config::printClusterConfig(config);
        const auto again = Config::parseClusterConfig(text);
        REQUIRE_MESSAGE(again, describe(again.faults()));
        CHECK(again->profiles == config.profiles);
        CHECK(again->services == config.services);
        CHECK(again->teams == config.teams);
        CHECK(Config::printClusterConfig(*again) == text);
    }
}
