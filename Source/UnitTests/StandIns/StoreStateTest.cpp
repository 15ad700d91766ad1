// Tests the store stand-in's data: compare-and-swap, leases, watches and the host list.
#include "StandIns/StoreState.h"

#include <doctest/doctest.h>

using Common::ErrorCode;
using Common::LeaseId;
using Common::StoreRevision;
using StandIns::StoreState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture {
    Common::MonotonicTime now {};
    StoreState state { [this] { return now; }, seconds(5) };
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "compare-and-swap writes only over the expected revision")
{
    const auto created = state.put("a", StoreRevision {}, "1", {});
    REQUIRE(created);
    CHECK(state.put("a", StoreRevision {}, "2", {}).reason().code == ErrorCode::RevisionConflict);
    const auto changed = state.put("a", *created, "3", {});
    REQUIRE(changed);
    CHECK(*changed > *created);
    CHECK(state.put("a", *created, "4", {}).reason().code == ErrorCode::RevisionConflict);
    CHECK(state.get("a")->value == "3");
    CHECK(state.remove("a", *created).reason().code == ErrorCode::RevisionConflict);
    REQUIRE(state.remove("a", *changed));
    CHECK_FALSE(state.get("a"));
}

TEST_CASE_FIXTURE(Fixture, "values over a megabyte are refused")
{
    CHECK(state.put("a", StoreRevision {}, std::string(StoreState::maximumValueBytes, 'x'), {}));
    CHECK(state.put("b", StoreRevision {}, std::string(StoreState::maximumValueBytes + 1, 'x'), {}).reason().code
        == ErrorCode::RequestTooLarge);
}

TEST_CASE_FIXTURE(Fixture, "a key is removed when its lease expires, and renewal keeps it")
{
    const LeaseId lease = state.grantLease(seconds(3));
    REQUIRE(state.put("members/x", StoreRevision {}, "here", lease));
    now += seconds(2);
    REQUIRE(state.renewLease(lease));
    now += seconds(2);
    CHECK(state.get("members/x"));
    now += seconds(1);
    CHECK_FALSE(state.get("members/x"));
    CHECK(state.renewLease(lease).reason().code == ErrorCode::NoAuthority);
    CHECK(state.put("members/x", StoreRevision {}, "late", lease).reason().code == ErrorCode::NoAuthority);
}

TEST_CASE_FIXTURE(Fixture, "a key that was rewritten without its lease outlives the lease")
{
    const LeaseId lease = state.grantLease(seconds(1));
    const auto first = state.put("a", StoreRevision {}, "leased", lease);
    REQUIRE(state.put("a", *first, "kept", {}));
    now += seconds(2);
    CHECK(state.get("a")->value == "kept");
}

TEST_CASE_FIXTURE(
    Fixture, "a watch reports earlier and later changes of its prefix, including removals by an expired lease")
{
    std::vector<Scheduler::StoreChanges> seen;
    const auto watcher = [&](const Scheduler::StoreChanges& changes) { seen.push_back(changes); };
    const LeaseId lease = state.grantLease(seconds(1));
    REQUIRE(state.put("p/a", StoreRevision {}, "1", lease));
    state.watch("p/", StoreRevision {}, watcher);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].written.size() == 1);
    state.watch("p/", seen[0].upTo, watcher);
    REQUIRE(state.put("q/b", StoreRevision {}, "other", {}));
    CHECK(seen.size() == 1);
    now += seconds(1);
    state.expireLeases();
    REQUIRE(seen.size() == 2);
    CHECK(seen[1].written.empty());
    CHECK(seen[1].removed == std::vector<std::string> { "p/a" });
    const uint64_t cancelled = state.watch("p/", seen[1].upTo, watcher);
    state.cancelWatch(cancelled);
    REQUIRE(state.put("p/c", StoreRevision {}, "1", {}));
    CHECK(seen.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "changes of the host list are visible after the lag")
{
    using Scheduler::HostState;
    const Common::DomainId levis("levis");
    state.setHosts({ { Common::WorkerId("w1"), levis, "127.0.0.1:1", HostState::Live } });
    state.updateHosts({ { Common::WorkerId("w1"), levis, "127.0.0.1:1", HostState::Leaving },
                          { Common::WorkerId("w2"), Common::DomainId("magog"), "127.0.0.1:2", HostState::Live } },
        false);
    now += milliseconds(4999);
    CHECK(state.hosts(levis).at(0).state == HostState::Live);
    now += milliseconds(1);
    CHECK(state.hosts(levis).at(0).state == HostState::Leaving);
    CHECK(state.hosts(levis).size() == 1);
    CHECK(state.hosts({}).size() == 2);
}
