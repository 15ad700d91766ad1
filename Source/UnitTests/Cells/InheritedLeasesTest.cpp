// How long a successor waits for workers that it can't reach, and that no owner grants leases that last longer.
#include "Cells/InheritedLeases.h"
#include "Cells/CellRecord.h"
#include "Cells/Fleet.h"
#include "Cells/ScriptedOrders.h"
#include "Cells/StoreKeys.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

const Cells::CellId yard("yard-0");

Cells::CellRecord recordOf(const Fleet& fleet)
{
    const std::string key = Cells::StoreKeys::cell(yard);
    const auto record = Cells::CellRecord::decode(fleet.store.recordsWithPrefix(key).at(key));
    REQUIRE(record);
    return *record;
}

/// The record as a release without `lease-horizon-ms` writes it.
std::string withoutHorizon(const Cells::CellRecord& record)
{
    nlohmann::json fields = nlohmann::json::parse(record.encode());
    fields.erase("lease-horizon-ms");
    return fields.dump();
}

} // namespace

// Guards against a lease that outlasts the wait of a successor.
TEST_CASE("no lease ends after the authority of the owner that grants it")
{
    ScriptedCell cell;
    const int64_t clock = 500'000;
    cell.answerPoll(1000, clock);
    const Common::MonotonicTime start = cell.clock.now();
    cell.orderRun(0);
    for (const Common::Duration left : { Common::Duration(9s), Common::Duration(5s), Common::Duration(700ms) }) {
        CAPTURE(left.count());
        cell.authorityLeft = left;
        cell.answerPoll(1000, clock + (cell.clock.now() - start) / 1ms);
        const Cells::WorkerOrders::PollRequest poll = cell.orders.polls.front().request;
        REQUIRE(poll.leaseUntil);
        const Common::Duration now = cell.clock.now() - start;
        CHECK(poll.leaseUntil->milliseconds <= clock + (now + std::min<Common::Duration>(left, 6s)) / 1ms);
        // The worker answers early enough for another poll that renews the lease.
        CHECK(2 * poll.wait < std::max<Common::Duration>(left, 600ms));
        CHECK(poll.wait >= 250ms);
    }
    cell.authorityLeft = 1s;
    cell.orderRun(1);
    const Common::Duration now = cell.clock.now() - start;
    REQUIRE(cell.orders.starts.size() == 2);
    CHECK(cell.orders.starts.back().leaseUntil.milliseconds <= clock + (now + 1s) / 1ms);
    cell.authorityLeft = 900ms;
    cell.orderRun(2);
    CHECK(cell.orders.starts.size() == 2);
    cell.authorityLeft = Common::Duration::zero();
    cell.answerPoll(1000, clock + now / 1ms);
    CHECK_FALSE(cell.orders.polls.front().request.leaseUntil);
}

// Guards against a lease that counts from the end of a suspension, but ends as late as the authority did before it.
TEST_CASE("a process that is suspended while it grants a lease grants none that outlasts its authority")
{
    ScriptedCell cell;
    cell.answerPoll(1000, 500'000);
    cell.orderRun(0);
    cell.authorityLeft = 2s;
    // The first question is whether the run may be started at all.
    cell.suspensions = { 0s, 3s };
    const Common::MonotonicTime before = cell.clock.now();
    cell.orderRun(1);
    REQUIRE(cell.orders.starts.size() == 2);
    const Common::WorkerTime until = cell.orders.starts.back().leaseUntil;
    CHECK(until.milliseconds <= cell.worker().lease().clockAt(before).milliseconds + 2000);
}

TEST_CASE("the wait of a successor counts from its claim, on the slowest clock")
{
    Cells::CellSettings settings;
    Cells::CellRecord record;
    record.leaseHorizon = settings.authority;
    const Common::MonotonicTime claimed { 100s };
    Cells::InheritedLeases leases = Cells::InheritedLeases::ofClaim(record, claimed, settings);
    CHECK(leases.end() - claimed >= settings.authority + settings.runLease * 2 / 100);
    CHECK(leases.end() - claimed <= settings.authority + 200ms);
    leases.ownersStopped(claimed + 8s, settings);
    CHECK(leases.end() - claimed <= settings.authority + 200ms);
    leases.ownersStopped(claimed + 1s, settings);
    CHECK(leases.end() - claimed <= 1s + settings.runLease * 103 / 100);
    CHECK(leases.end() - claimed >= 1s + settings.runLease * 102 / 100);
}

TEST_CASE("a record tells how long leases of its owner may last, and one without that is of an earlier release")
{
    Cells::CellRecord record;
    record.leaseHorizon = 4s;
    CHECK(Cells::CellRecord::decode(record.encode())->leaseHorizon == Common::Duration(4s));
    CHECK(Cells::CellRecord::decode(withoutHorizon(record))->leaseHorizon == Common::Duration(15s));
    CHECK_FALSE(Cells::CellRecord::decode(R"({"owner":"a","address":"a:1","token":1,"lease-horizon-ms":-1})"));
    CHECK_FALSE(Cells::CellRecord::decode(R"({"owner":"a","address":"a:1","token":1,"lease-horizon-ms":1e15})"));
}

TEST_CASE("a record carries the leases of earlier owners until it is settled")
{
    Fleet fleet;
    CHECK(recordOf(fleet).leaseHorizon == Cells::CellSettings {}.authority);
    const Cells::FencingToken first = recordOf(fleet).token;
    fleet.store.put(Cells::StoreKeys::cell(yard), withoutHorizon(recordOf(fleet)));
    fleet.owner()->process.kill();
    for (size_t steps = 0; steps < 2000 && recordOf(fleet).token == first; ++steps)
        fleet.clock.advance(5ms);
    CHECK(recordOf(fleet).unsettled);
    CHECK(recordOf(fleet).leaseHorizon == Cells::CellRecord::earlierReleaseHorizon);
    fleet.clock.advance(2s);
    CHECK_FALSE(recordOf(fleet).unsettled);
    CHECK(recordOf(fleet).leaseHorizon == Cells::CellSettings {}.authority);
}
