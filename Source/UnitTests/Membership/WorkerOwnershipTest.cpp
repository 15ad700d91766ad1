// The ownership protocol with scripted reports.
#include "Membership/WorkerOwnership.h"

#include "Scheduler/WorkerReport.h"

#include <doctest/doctest.h>

using namespace Membership;
using namespace std::chrono_literals;
using Outcome = WorkerOwnership::Outcome;
using State = WorkerOwnership::State;

namespace {

const Common::DaemonId self("b");

Common::MonotonicTime at(std::chrono::milliseconds time) { return Common::MonotonicTime(time); }

Scheduler::WorkerClaim claim(const std::string& daemon, int64_t term, int64_t madeAt)
{
    return { Common::DaemonId(daemon), "", { term }, { madeAt }, { madeAt + 60000 } };
}

Scheduler::WorkerReport report(
    int64_t clock, const std::vector<Scheduler::WorkerClaim>& claims, const std::string& boot = "boot-1")
{
    Scheduler::WorkerReport made;
    made.boot = Common::WorkerBootId(boot);
    made.clock = { clock };
    made.claims = claims;
    return made;
}

/// Owns the worker: read its claims at 1000 ms, claimed it, and saw its claim in reports at 1000, 2500 and 4000 ms.
struct Owner {
    Owner()
    {
        ownership.setWanted(true);
        sync(1000, {});
        term = ownership.beginSync(at(0ms)).claim.value();
        for (const int64_t clock : { 1000, 2500, 4000 })
            last = sync(clock, { claim("b", term.value, 1000) });
    }
    Outcome sync(int64_t clock, const std::vector<Scheduler::WorkerClaim>& claims, const std::string& boot = "boot-1")
    {
        const auto ticket = ownership.beginSync(at(std::chrono::milliseconds(clock)));
        return ownership.handleReport(ticket, report(clock, claims, boot));
    }

    WorkerOwnership ownership { self, OwnershipSettings {} };
    Common::ClaimTerm term;
    Outcome last = Outcome::Ignored;
};

} // namespace

TEST_CASE("a claimant owns the worker once a start window has passed on the worker's clock")
{
    WorkerOwnership ownership(self, OwnershipSettings {});
    ownership.setWanted(true);
    CHECK(!ownership.beginSync(at(0ms)).claim);
    ownership.handleReport(ownership.beginSync(at(0ms)), report(1000, { claim("a", 5000, 10) }));
    CHECK(ownership.beginSync(at(0ms)).claim == Common::ClaimTerm { 5001 });
    const std::vector<Scheduler::WorkerClaim> claims { claim("a", 5000, 10), claim("b", 5001, 1100) };
    CHECK(ownership.handleReport(ownership.beginSync(at(100ms)), report(1100, claims)) == Outcome::Noted);
    CHECK(ownership.handleReport(ownership.beginSync(at(2000ms)), report(3000, claims)) == Outcome::Noted);
    CHECK(ownership.handleReport(ownership.beginSync(at(3000ms)), report(4099, claims)) == Outcome::Noted);
    CHECK(!ownership.hasAuthority(at(3000ms)));
    CHECK(ownership.handleReport(ownership.beginSync(at(3100ms)), report(4100, claims)) == Outcome::Owned);
    CHECK(ownership.startBy() == Common::WorkerTime { 7100 });
}

TEST_CASE("a new term is above all reported terms and not below the worker's clock")
{
    Owner owner;
    CHECK(owner.last == Outcome::Owned);
    CHECK(owner.term == Common::ClaimTerm { 1000 });
    CHECK(owner.sync(4500, {}) == Outcome::Lost);
    CHECK(owner.ownership.beginSync(at(0ms)).claim == Common::ClaimTerm { 4500 });
    CHECK(owner.sync(4600, { claim("a", 9000, 4550) }) == Outcome::Noted);
    CHECK(owner.ownership.beginSync(at(0ms)).claim == Common::ClaimTerm { 9001 });
}

TEST_CASE("authority is measured from when the sync was sent, less the clock rate margin")
{
    Owner owner;
    const auto ticket = owner.ownership.beginSync(at(5000ms));
    // When the report arrives makes no difference.
    owner.ownership.handleReport(ticket, report(5000, { claim("b", owner.term.value, 1000) }));
    CHECK(owner.ownership.hasAuthority(at(7969ms)));
    CHECK(!owner.ownership.hasAuthority(at(7970ms)));
    CHECK(!owner.ownership.expire(at(7969ms)));
    CHECK(owner.ownership.expire(at(7970ms)));
    CHECK(owner.ownership.state() == State::Claiming);
}

TEST_CASE("reports that arrive out of order are ignored")
{
    Owner owner;
    const auto early = owner.ownership.beginSync(at(4100ms));
    const auto late = owner.ownership.beginSync(at(4200ms));
    CHECK(owner.ownership.handleReport(late, report(4200, {})) == Outcome::Lost);
    CHECK(
        owner.ownership.handleReport(early, report(4300, { claim("b", owner.term.value, 1000) })) == Outcome::Ignored);
    CHECK(owner.sync(4150, { claim("b", owner.term.value, 1000) }) == Outcome::Ignored);
    CHECK(!owner.ownership.hasAuthority(at(4300ms)));
}

TEST_CASE("another daemon's higher claim leaves the remaining authority but ends its extension")
{
    Owner owner;
    const std::vector<Scheduler::WorkerClaim> both { claim("b", owner.term.value, 1000), claim("c", 9000, 4500) };
    CHECK(owner.sync(5000, both) == Outcome::Renewed);
    CHECK(owner.ownership.state() == State::Displaced);
    CHECK(owner.ownership.startBy() == Common::WorkerTime { 7000 });
    CHECK(!owner.ownership.beginSync(at(5000ms)).claim);
    CHECK(owner.ownership.hasAuthority(at(6969ms)));
    CHECK(!owner.ownership.hasAuthority(at(6970ms)));
    CHECK(owner.sync(6999, both) == Outcome::Renewed);
    CHECK(!owner.ownership.hasAuthority(at(6999ms)));
    CHECK(owner.sync(7000, both) == Outcome::Lost);
    CHECK(owner.ownership.beginSync(at(0ms)).claim == Common::ClaimTerm { 9001 });

    // Ownership also ends if the other daemon's claim is gone by the next report.
    Owner returned;
    returned.sync(5000, { claim("b", returned.term.value, 1000), claim("c", 9000, 4500) });
    CHECK(returned.sync(5500, { claim("b", returned.term.value, 1000) }) == Outcome::Lost);
}

TEST_CASE("a break in the sequence of reports ends ownership and restarts the wait")
{
    const auto claims = [](const Owner& owner, int64_t madeAt) {
        return std::vector<Scheduler::WorkerClaim> { claim("b", owner.term.value, madeAt) };
    };
    Owner gap;
    CHECK(gap.sync(6999, claims(gap, 1000)) == Outcome::Renewed);
    CHECK(gap.sync(9999, claims(gap, 1000)) == Outcome::Lost);
    CHECK(gap.sync(12000, claims(gap, 1000)) == Outcome::Noted);
    CHECK(gap.sync(12999, claims(gap, 1000)) == Outcome::Owned);

    Owner remade;
    CHECK(remade.sync(5000, claims(remade, 4500)) == Outcome::Lost);

    Owner missing;
    CHECK(missing.sync(5000, {}) == Outcome::Lost);
    CHECK(missing.ownership.beginSync(at(0ms)).claim > missing.term);

    Owner rebooted;
    CHECK(rebooted.sync(5000, claims(rebooted, 1000), "boot-2") == Outcome::Lost);
}

TEST_CASE("ownership of a worker that is no longer wanted ends at once and its claim is withdrawn")
{
    Owner owner;
    CHECK(owner.ownership.setWanted(false));
    CHECK(!owner.ownership.hasAuthority(at(4000ms)));
    CHECK(owner.ownership.beginSync(at(0ms)).withdraw);
    CHECK(owner.sync(4100, { claim("b", owner.term.value, 1000) }) == Outcome::Noted);
    CHECK(owner.ownership.state() == State::Yielding);
    owner.sync(4200, {});
    CHECK(owner.ownership.state() == State::Unclaimed);
}
