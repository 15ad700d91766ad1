// Run leases on workers' clocks, which may be 2% slow.
#include "Cells/WorkerLease.h"
#include "Cells/CellSettings.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr double slowRate = 0.98;

Common::WorkerTime slowClock(Common::Duration since)
{
    return Common::WorkerTime { static_cast<int64_t>(
        std::chrono::duration<double, std::milli>(since).count() * slowRate) };
}

} // namespace

// Guards against a run that a successor takes for gone although the lease that the former owner has granted goes on.
TEST_CASE("a lease that is granted some time after the worker's clock was read isn't longer than a successor waits")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start;
    for (Common::Duration age {}; age <= 2 * settings.idlePollInterval; age += 100ms) {
        CAPTURE(age.count());
        Cells::WorkerLease lease(settings);
        lease.synchronizeClock(slowClock({}), start);
        const Common::WorkerTime until = lease.grant(settings.runLease, start + age);
        const double lasts = (static_cast<double>(until.milliseconds) / slowRate)
            - std::chrono::duration<double, std::milli>(age).count();
        const double waited = std::chrono::duration<double, std::milli>(settings.runLease).count()
            * (1 + Cells::WorkerLease::clockSlack);
        CHECK(lasts <= waited);
    }
}

// Guards against a run on a worker's next life that a call to its former life keeps alive (issue 49, TWICE).
TEST_CASE("a life that has answered may hold the longest lease since then, whatever was granted to it")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start { 100s };
    Cells::WorkerLease lease(settings);
    lease.synchronizeClock(slowClock(100s), start);
    lease.grant(settings.runLease, start);
    lease.startAnew();
    lease.answered(start + 1s);
    lease.synchronizeClock(slowClock({}), start + 1s);
    lease.grant(settings.runLease, start + 1s);
    const Common::Duration longest = Cells::WorkerLease::onSlowestClock(settings.longestLease);
    CHECK_FALSE(lease.hasExpired(start + 1s + longest - 1ms));
    CHECK(lease.hasExpired(start + 1s + longest));
}

TEST_CASE("calls to a former life that are over give no lease to a life that answers later")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start { 100s };
    Cells::WorkerLease lease(settings);
    lease.synchronizeClock(slowClock(100s), start);
    lease.grant(settings.runLease, start);
    lease.startAnew();
    const Common::MonotonicTime answered = start + settings.longestCallDelay + 20s;
    lease.answered(answered);
    CHECK(lease.hasExpired(answered));
}

TEST_CASE(
    "a run that a late call may start on a life without an answer is gone with the longest lease after the latest call")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start { 100s };
    const Common::Duration longest = Cells::WorkerLease::onSlowestClock(settings.longestLease);
    Cells::WorkerLease lease(settings);
    lease.synchronizeClock(slowClock(100s), start);
    lease.grant(settings.runLease, start);
    CHECK(lease.lateLeasesEnd() < start);
    CHECK(lease.unknownLeasesEnd() == start + settings.longestCallDelay + longest);
    lease.startAnew();
    CHECK(lease.lateLeasesEnd() == start + settings.longestCallDelay + longest);
    lease.synchronizeClock(slowClock({}), start + 1s);
    lease.grant(settings.runLease, start + 1s);
    CHECK(lease.unknownLeasesEnd() == start + 1s + settings.longestCallDelay + longest);
}

TEST_CASE("a lease hasn't expired before it has on the slowest clock, whatever the age of the clock's reading")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start;
    for (Common::Duration age {}; age <= 2 * settings.idlePollInterval; age += 100ms) {
        CAPTURE(age.count());
        Cells::WorkerLease lease(settings);
        lease.synchronizeClock(slowClock({}), start);
        const Common::WorkerTime until = lease.grant(settings.runLease, start + age);
        Common::Duration passed = age;
        while (!lease.hasExpired(start + passed))
            passed += 1ms;
        CHECK(slowClock(passed) >= until);
        CHECK(passed - age <= settings.runLease * 21 / 20);
    }
}
