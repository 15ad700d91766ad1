// Tests the store adapter against the stand-in in one process, also with faults of the store.
#include "Store/HttpStore.h"
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "StandIns/StoreServer.h"

#include <doctest/doctest.h>

using Common::ErrorCode;
using Common::StoreRevision;
using Fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture {
    Fixture()
        : server(loop, {})
        , client(loop, {})
        , store(client, { "127.0.0.1:" + std::to_string(*server.listen("127.0.0.1:0")), seconds(30) })
        , unreachableStore(client, { "127.0.0.1:1", milliseconds(50) })
    {
    }

    /// Calls `start` with a callback and runs the loop until it has been called.
    template <typename T, typename Start> Common::Result<T> await(const Start& start)
    {
        std::optional<Common::Result<T>> outcome;
        start([&](Common::Result<T> result) { outcome = std::move(result); });
        REQUIRE(runUntil(loop, [&] { return outcome.has_value(); }));
        return *outcome;
    }
    Common::Result<StoreRevision> put(
        const std::string& key, StoreRevision expected, const std::string& value, const Common::LeaseId& lease = {})
    {
        return await<StoreRevision>(
            [&](auto callback) { store.compareAndSwap(key, expected, value, lease, callback); });
    }
    Common::Result<std::optional<Scheduler::StoreValue>> get(const std::string& key)
    {
        return await<std::optional<Scheduler::StoreValue>>([&](auto callback) { store.get(key, callback); });
    }

    Http::EventLoop loop;
    StandIns::StoreServer server;
    Http::Client client;
    Store::HttpStore store;
    Store::HttpStore unreachableStore;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "Values and revisions are transmitted unchanged, with any bytes in keys")
{
    const std::string key = "ledger/3/log/a b?&=%2F+ü";
    const std::string value = "{\"text\":\"\\n quoted \"}";
    const auto written = put(key, {}, value);
    REQUIRE(written);
    const auto read = get(key);
    REQUIRE(read);
    REQUIRE(read->has_value());
    CHECK((*read)->key == key);
    CHECK((*read)->value == value);
    CHECK((*read)->revision == *written);
    CHECK(put(key, {}, "again").reason().code == ErrorCode::RevisionConflict);
    REQUIRE(put("ledger/3/log/b", {}, "2"));
    REQUIRE(put("other", {}, "3"));
    const auto all
        = await<std::vector<Scheduler::StoreValue>>([&](auto callback) { store.list("ledger/3/", callback); });
    REQUIRE(all);
    CHECK(all->size() == 2);
    REQUIRE(await<Common::Done>([&](auto callback) { store.remove(key, *written, callback); }));
    const auto gone = get(key);
    REQUIRE(gone);
    CHECK_FALSE(gone->has_value());
}

TEST_CASE_FIXTURE(Fixture, "A watch yields the change it waits for, or nothing when its wait is over")
{
    std::optional<Common::Result<Scheduler::StoreChanges>> changes;
    store.watch("p/", {}, seconds(30), [&](auto result) { changes = std::move(result); });
    REQUIRE(put("q/other", {}, "1"));
    CHECK_FALSE(changes);
    const auto written = put("p/key", {}, "value");
    REQUIRE(runUntil(loop, [&] { return changes.has_value(); }));
    REQUIRE(*changes);
    REQUIRE((*changes)->written.size() == 1);
    CHECK((*changes)->written[0].value == "value");
    CHECK((*changes)->upTo == *written);
    const auto nothing = await<Scheduler::StoreChanges>(
        [&](auto callback) { store.watch("p/", *written, milliseconds(20), callback); });
    REQUIRE(nothing);
    CHECK(nothing->written.empty());
    CHECK(nothing->upTo == *written);
    CHECK(server.calls("watch") == 2);
}

TEST_CASE_FIXTURE(Fixture, "Keys are removed with their lease, and an expired lease is reported")
{
    const auto lease = await<Common::LeaseId>([&](auto callback) { store.grantLease(milliseconds(500), callback); });
    REQUIRE(lease);
    REQUIRE(put("members/a", {}, "here", *lease));
    const auto gone
        = await<Scheduler::StoreChanges>([&](auto callback) { store.watch("members/", { 1 }, seconds(30), callback); });
    REQUIRE(gone);
    CHECK(gone->removed == std::vector<std::string> { "members/a" });
    const auto renewed = await<Common::Done>([&](auto callback) { store.renewLease(*lease, callback); });
    CHECK(renewed.reason().code == ErrorCode::NoAuthority);
}

TEST_CASE_FIXTURE(Fixture, "Hosts of a domain are listed with their state")
{
    server.state().setHosts(
        { { Common::WorkerId("w1"), Common::DomainId("levis"), "127.0.0.1:9", Scheduler::HostState::Leaving },
            { Common::WorkerId("w2"), Common::DomainId("magog"), "127.0.0.1:8", Scheduler::HostState::Live } });
    const auto hosts = await<std::vector<Scheduler::HostEntry>>(
        [&](auto callback) { store.listHosts(Common::DomainId("levis"), callback); });
    REQUIRE(hosts);
    REQUIRE(hosts->size() == 1);
    CHECK(hosts->at(0).worker.value() == "w1");
    CHECK(hosts->at(0).address == "127.0.0.1:9");
    CHECK(hosts->at(0).state == Scheduler::HostState::Leaving);
}

TEST_CASE_FIXTURE(Fixture, "A write that takes effect without an answer fails with a lost connection")
{
    StandIns::StoreServer::Faults faults;
    faults.forgetAnswers = 1;
    server.setFaults(faults);
    CHECK(put("a", {}, "1").reason().code == ErrorCode::ConnectionLost);
    CHECK(server.state().get("a")->value == "1");
    CHECK(put("a", {}, "1").reason().code == ErrorCode::RevisionConflict);
    CHECK(server.calls("put") == 2);
}

TEST_CASE_FIXTURE(Fixture, "A store that is down or unreachable fails calls and waiting watches without an effect")
{
    std::optional<Common::Result<Scheduler::StoreChanges>> changes;
    store.watch("p/", {}, seconds(30), [&](auto result) { changes = std::move(result); });
    REQUIRE(put("q", {}, "1"));
    StandIns::StoreServer::Faults faults;
    faults.down = true;
    server.setFaults(faults);
    REQUIRE(runUntil(loop, [&] { return changes.has_value(); }));
    CHECK(changes->reason().code == ErrorCode::ConnectionLost);
    CHECK(put("a", {}, "1").reason().code == ErrorCode::ConnectionLost);
    CHECK_FALSE(server.state().get("a"));
    const auto refused
        = await<Common::LeaseId>([&](auto callback) { unreachableStore.grantLease(seconds(1), callback); });
    CHECK(refused.reason().code == ErrorCode::ConnectFailed);
}
