// Tests the defaults and checks of a daemon's settings.
#include "Config/DaemonSettings.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace std::chrono_literals;
using Config::DaemonSettings;
using Config::SettingFault;
using Kind = Config::SettingFault::Kind;

namespace {

const char* const smallest = R"({
    // Only what has no default.
    "id": "catania-1", "listen": "127.0.0.1:7100", "domain": "catania-yard", "region": "sic-est",
    "store": { "address": "127.0.0.1:7000" } /* the platform's */
})";

const SettingFault* find(const std::vector<SettingFault>& faults, const std::string& path)
{
    const auto found
        = std::find_if(faults.begin(), faults.end(), [&](const SettingFault& fault) { return fault.path == path; });
    return found == faults.end() ? nullptr : &*found;
}

void checkFault(const std::vector<SettingFault>& faults, const std::string& path, Kind kind)
{
    CAPTURE(path);
    const SettingFault* const fault = find(faults, path);
    REQUIRE(fault);
    CHECK(fault->kind == kind);
    CHECK_FALSE(fault->allowed.empty());
}

/// The smallest settings, followed by more members.
std::string with(const std::string& members)
{
    std::string text = smallest;
    return text.insert(text.rfind('}'), ", " + members);
}

} // namespace

TEST_CASE("settings that are left out take their defaults")
{
    const auto settings = DaemonSettings::parse(smallest);
    REQUIRE_MESSAGE(settings, describe(settings.faults()));
    CHECK(settings->hostName == "catania-1");
    CHECK(settings->advertisedAddress == "127.0.0.1:7100");
    CHECK(settings->domain == Common::DomainId("catania-yard"));
    CHECK(settings->heartbeatInterval == Common::Duration(500ms));
    CHECK(settings->ledgerShards == 16);
    CHECK(settings->maximumBodyBytes == 16 * 1024 * 1024);
}

TEST_CASE("given settings replace the defaults")
{
    const auto settings = DaemonSettings::parse(with(
        R"("advertise": "10.0.0.7:7100", "peers": ["10.0.0.8:7100"], "log": {"level": "warn"}, "workers": {"sync": "500ms"})"));
    REQUIRE_MESSAGE(settings, describe(settings.faults()));
    CHECK(settings->advertisedAddress == "10.0.0.7:7100");
    CHECK(settings->seedPeers == std::vector<std::string> { "10.0.0.8:7100" });
    CHECK(settings->logLevel == "warn");
    CHECK(settings->syncInterval == Common::Duration(500ms));
}

TEST_CASE("all faults are reported together, with path, value, what is allowed and the nearest name")
{
    const auto settings = DaemonSettings::parse(R"({
        "id": "catania 1", "listen": "localhost:7100", "domain": 5, "regoin": "sic-est",
        "membership": { "heartbeet": "500ms", "peerTimeout": 2500 }, "workers": 3,
        "peers": ["10.0.0.8:7100", "10.0.0.300:7100"], "log": { "level": "warning" },
        "ledger": { "shards": 0, "shards": 1000 }, "limits": { "bodyBytes": 1.5, "keptBytes": 99999999999999999999 }
    })");
    REQUIRE_FALSE(settings);
    const auto& faults = settings.faults();
    checkFault(faults, "id", Kind::OutOfRange);
    checkFault(faults, "listen", Kind::OutOfRange);
    checkFault(faults, "domain", Kind::WrongType);
    checkFault(faults, "regoin", Kind::UnknownName);
    checkFault(faults, "region", Kind::Missing);
    checkFault(faults, "store.address", Kind::Missing);
    checkFault(faults, "membership.heartbeet", Kind::UnknownName);
    checkFault(faults, "membership.peerTimeout", Kind::WrongType);
    checkFault(faults, "workers", Kind::WrongType);
    checkFault(faults, "peers[1]", Kind::OutOfRange);
    checkFault(faults, "log.level", Kind::OutOfRange);
    checkFault(faults, "ledger.shards", Kind::DuplicateKey);
    checkFault(faults, "limits.bodyBytes", Kind::WrongType);
    checkFault(faults, "limits.keptBytes", Kind::WrongType);
    CHECK(find(faults, "regoin")->nearest == "region");
    CHECK(find(faults, "membership.heartbeet")->nearest == "heartbeat");
    CHECK(find(faults, "log.level")->nearest == "warn");
    CHECK(find(faults, "log.level")->found == "\"warning\"");
    CHECK(find(faults, "peers[1]")->found == "\"10.0.0.300:7100\"");
    const auto outOfRangeShards = std::count_if(faults.begin(), faults.end(),
        [](const SettingFault& fault) { return fault.path == "ledger.shards" && fault.kind == Kind::OutOfRange; });
    CHECK(outOfRangeShards == 1);
    CHECK(faults.size() == 15);
}

TEST_CASE("inconsistent settings are reported")
{
    const auto settings = DaemonSettings::parse(with(R"("membership": {"heartbeat": "2s", "session": "2s"},
        "workers": {"sync": "2s", "claim": "3s", "taskLease": "5s", "syncTimeout": "3s"},
        "limits": {"keptBytes": 1048576}, "config": {"watchWait": "5s"})"));
    REQUIRE_FALSE(settings);
    for (const char* path : { "membership.peerTimeout", "membership.session", "workers.startWindow", "workers.claim",
             "workers.taskLease", "limits.keptBytes", "config.watchWait" })
        checkFault(settings.faults(), path, Kind::Inconsistent);
    // The eighth: startWindow is too short both for the sync timeout and for two syncs.
    CHECK(settings.faults().size() == 8);
}

TEST_CASE("a daemon that listens on every interface must advertise an address")
{
    std::string text = smallest;
    text.replace(text.find("127.0.0.1:7100"), std::string("127.0.0.1:7100").size(), "0.0.0.0:7100");
    const auto settings = DaemonSettings::parse(text);
    REQUIRE_FALSE(settings);
    checkFault(settings.faults(), "advertise", Kind::Inconsistent);
}

TEST_CASE("a syntax error is reported with its line and column")
{
    const auto settings = DaemonSettings::parse("{\n  \"id\": \"a\",\n  \"listen\" 5\n}");
    REQUIRE_FALSE(settings);
    REQUIRE(settings.faults().size() == 1);
    CHECK(settings.faults()[0].kind == Kind::Syntax);
    CHECK(settings.faults()[0].line == 3);
    CHECK(settings.faults()[0].column == 12);
    for (const char* text : { "", "{", "{\"id\": \"\xff\"}", "[1,2" }) {
        CAPTURE(text);
        const auto broken = DaemonSettings::parse(text);
        REQUIRE_FALSE(broken);
        CHECK(broken.faults()[0].kind == Kind::Syntax);
        CHECK(broken.faults()[0].line == 1);
    }
    CHECK(DaemonSettings::parse("[]").faults()[0].kind == Kind::WrongType);
}
