// What a host takes from the results of its calls to the store when they end in another order than they were sent.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// The host "b:1" with its access to the store and none of its other parts, and a host that has it relay calls.
struct RelayingHost {
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeNetwork network { clock, 1 };
    Fakes::FakeRecordStore direct { clock, network, 1 };
    Fakes::FakePeer::Directory peers;
    Cells::HostSettings settings;
    Cells::HostDirectory nobody { settings };
    Fakes::FakeProcess process { clock, 1 };
    Fakes::FakePeer asker { network, process, peers, "a:1" };
    Fakes::FakePeer relay { network, process, peers, "b:1" };
    Cells::RelayedStore store { process, direct.client("b:1", process), relay };

    RelayingHost() { store.start(nobody); }
    void silence() { network.cut("b:1", Fakes::FakeRecordStore::address); }
    void read()
    {
        store.get(
            "key", Cells::Freshness::Linearizable, [](const Common::Result<std::optional<Scheduler::StoreValue>>&) {});
    }
};

} // namespace

TEST_CASE("a call sent into the store's silence doesn't make an answering store count as failing when it times out")
{
    RelayingHost world;
    world.silence();
    world.read();
    world.clock.advance(300ms);
    world.network.heal();
    world.read();
    world.clock.advance(1s);
    CHECK(world.store.isDirectStoreAvailable());
}

TEST_CASE("a host that only relays calls notices that the store doesn't answer")
{
    RelayingHost world;
    world.silence();
    bool refused = false;
    world.asker.call("b:1", "store.get", nlohmann::json { { "key", "key" } }, 2s,
        [&refused](const Common::Result<nlohmann::json>& answer) { refused = !answer; });
    world.clock.advance(1s);
    CHECK(refused);
    CHECK_FALSE(world.store.isDirectStoreAvailable());
}
