// Cancellations that the job's cell doesn't confirm while their caller waits.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <functional>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// Cancels a service of eight tasks once, at a host without cells, after `hinder` has changed the fleet.
struct CancelledOnce : Fleet {
    Outcome submitted;
    Outcome cancelled;

    explicit CancelledOnce(const std::function<void(CancelledOnce&, WorldHost& owner)>& hinder)
    {
        submit(*owner(), service(1, 8), submitted);
        clock.advance(2s);
        REQUIRE(running() == 8);
        WorldHost& caller = other();
        hinder(*this, *owner());
        caller.front.cancel(jobId(1), 2900ms, [this](const Common::Result<Common::Done>& done) { cancelled = done; });
        clock.advance(3s);
        REQUIRE(cancelled);
    }
    /// The caller can't tell whether the tasks stop, and is told so.
    void checkOutcomeUnknown() const
    {
        REQUIRE_FALSE(cancelled->hasValue());
        CHECK(cancelled->reason().code == Common::ErrorCode::OutcomeUnknown);
    }
};

} // namespace

TEST_CASE("a cancellation that is sent while its job's cell has no owner takes effect once it has one")
{
    CancelledOnce world([](CancelledOnce&, WorldHost& owner) { owner.process.kill(); });
    world.checkOutcomeUnknown();
    world.clock.advance(20s);
    REQUIRE(world.owner());
    CHECK(world.running() == 0);
    CHECK(world.phase(*world.live().front(), 1) == Jobs::JobPhase::Cancelled);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation that is sent while the store is down takes effect when it is back")
{
    CancelledOnce world([](CancelledOnce& fleet, WorldHost&) { fleet.store.down = true; });
    world.checkOutcomeUnknown();
    world.store.down = false;
    world.clock.advance(4s);
    CHECK(world.running() == 0);
    CHECK(world.phase(*world.live().front(), 1) == Jobs::JobPhase::Cancelled);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation whose owner can't be reached by the caller's host takes effect when it can")
{
    CancelledOnce world([](CancelledOnce& fleet, WorldHost& owner) {
        for (WorldHost* const host : fleet.live()) {
            fleet.network.cut(host->address, owner.address);
            fleet.network.cut(owner.address, host->address);
        }
    });
    world.checkOutcomeUnknown();
    world.network.heal();
    world.clock.advance(20s);
    CHECK(world.running() == 0);
    CHECK(world.judge.summary() == "");
}
