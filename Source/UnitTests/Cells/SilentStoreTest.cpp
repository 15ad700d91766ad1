// What callers see of an outage in which the store doesn't answer at all: each call to it ends by its timeout only.
#include "Cells/Fleet.h"
#include "platform/KeyValueStore.h"

#include <doctest/doctest.h>

#include <deque>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

void silenceStore(Fleet& fleet)
{
    for (WorldHost* const host : fleet.live())
        fleet.network.cut(host->address, Fakes::FakeRecordStore::address);
}

/// Whether a submission `delay` after the end of the silence is accepted. Before, the cell has writes to make.
bool acceptsAfterSilence(uint64_t seed, Common::Duration silence, Common::Duration delay)
{
    Fleet fleet(seed);
    std::deque<Outcome> outcomes;
    uint64_t lastJob = 0;
    const auto submit = [&]() -> Outcome& {
        fleet.submit(fleet.other(), CellWorld::job(++lastJob, "ok:500", 1), outcomes.emplace_back());
        return outcomes.back();
    };
    silenceStore(fleet);
    const Common::MonotonicTime end = fleet.clock.now() + silence;
    while (fleet.clock.now() < end) {
        submit();
        fleet.clock.advance(100ms);
    }
    fleet.network.heal();
    fleet.clock.advance(delay);
    const Outcome& outcome = submit();
    fleet.clock.advance(3s);
    REQUIRE(outcome);
    return outcome->hasValue();
}

} // namespace

TEST_CASE("a submission isn't refused any more when calls sent into the store's silence have ended")
{
    for (uint64_t seed = 1; seed <= 41; ++seed) {
        CAPTURE(seed);
        CHECK(acceptsAfterSilence(seed, 2s + (seed - 1) * 100ms, Platform::KeyValueStore::Settings {}.timeout));
    }
}

TEST_CASE("a submission made after the store's silence isn't refused because calls sent into it have no answer")
{
    for (uint64_t seed = 1; seed <= 41; ++seed) {
        CAPTURE(seed);
        CHECK(acceptsAfterSilence(seed, 2s + (seed - 1) * 100ms, 0ms));
    }
}
