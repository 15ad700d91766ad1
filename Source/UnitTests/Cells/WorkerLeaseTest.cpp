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
        Cells::WorkerLease lease;
        lease.synchronizeClock(slowClock({}), start);
        const Common::WorkerTime until = lease.grant(settings.runLease, start + age);
        const double lasts = (static_cast<double>(until.milliseconds) / slowRate)
            - std::chrono::duration<double, std::milli>(age).count();
        const double waited = std::chrono::duration<double, std::milli>(settings.runLease).count()
            * (1 + Cells::WorkerLease::clockSlack);
        CHECK(lasts <= waited);
    }
}

TEST_CASE("a lease hasn't expired before it has on the slowest clock, whatever the age of the clock's reading")
{
    const Cells::CellSettings settings;
    const Common::MonotonicTime start;
    for (Common::Duration age {}; age <= 2 * settings.idlePollInterval; age += 100ms) {
        CAPTURE(age.count());
        Cells::WorkerLease lease;
        lease.synchronizeClock(slowClock({}), start);
        const Common::WorkerTime until = lease.grant(settings.runLease, start + age);
        Common::Duration passed = age;
        while (!lease.hasExpired(start + passed))
            passed += 1ms;
        CHECK(slowClock(passed) >= until);
        CHECK(passed - age <= settings.runLease * 21 / 20);
    }
}
