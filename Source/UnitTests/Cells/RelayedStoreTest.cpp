// What hosts believe of their access to the store.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

TEST_CASE("hosts without cells notice that an outage of the store has ended")
{
    Fleet fleet;
    fleet.store.down = true;
    fleet.clock.advance(12s);
    fleet.store.down = false;
    fleet.clock.advance(4s);
    for (WorldHost* const host : fleet.live())
        CHECK(host->store.isDirectStoreAvailable());
}
