// Task transfers to a cell whose owner is replaced meanwhile: it may answer for the cell until it learns that.
#include "Cells/CellWorld.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstService = 100;
constexpr uint64_t services = 200;

/// The cell "yard-0", whose only worker is full, and the cell "shed-0" with room for all services, whose owner can be
/// replaced by two hosts.
struct ReplacedOwner : CellWorld {
    const Cells::CellId home { "yard-0" };
    const Cells::CellId peer { "shed-0" };

    size_t accepted = 0;

    explicit ReplacedOwner(uint64_t seed)
        : CellWorld(seed)
    {
        addWorkers("yard", 1, 1000);
        addWorkers("shed", 8, 100'000);
        addHost("yard", "yard:1");
        for (const char* const name : { "shed:1", "shed:2", "shed:3" })
            addHost("shed", name);
        clock.advance(8s);
        REQUIRE(ownerOf(home)->address == "yard:1");
        REQUIRE(ownerOf(peer)->address != "yard:1");
    }
    WorldHost* ownerOf(const Cells::CellId& cell)
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engine(cell))
                return host;
        }
        return nullptr;
    }
    void disconnect(const std::string& a, const std::string& b)
    {
        network.cut(a, b);
        network.cut(b, a);
    }
    void serve(uint64_t number)
    {
        Jobs::JobRecord record = service(number, 1);
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        // Hosts that don't hear its owner take the home cell over as well.
        for (size_t steps = 0; steps < 100 && !ownerOf(home); ++steps)
            clock.advance(10ms);
        REQUIRE(ownerOf(home));
        ownerOf(home)->cellOwnership.engine(home)->submit(record, Cells::CellEngine::Fit::Any,
            [this](const Common::Result<Cells::AcceptOutcome>& outcome) { accepted += outcome ? 1 : 0; });
    }
    /// Transfers that the peer cell hasn't taken over.
    size_t openTransfers() const
    {
        size_t found = 0;
        for (uint64_t number = firstService; number < firstService + services; ++number)
            found
                += store.countWithPrefix(Cells::StoreKeys::job(peer, jobId(number)) + Cells::StoreKeys::transferMarker);
        return found;
    }
};

} // namespace

// Guards against tasks that run nowhere because a former owner has confirmed the receipt of their transfer.
TEST_CASE(
    "tasks run that are transferred to a cell whose owner is cut from the store and its successors, and then stops")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        ReplacedOwner world(seed);
        WorldHost& owner = *world.ownerOf(world.peer);
        world.disconnect(owner.address, Fakes::FakeRecordStore::address);
        for (const char* const name : { "shed:1", "shed:2", "shed:3" }) {
            if (name == owner.address)
                continue;
            world.disconnect(owner.address, name);
            // The sender hears of the successor late.
            if (seed % 2 == 0)
                world.disconnect("yard:1", name);
        }
        for (uint64_t number = firstService; number < firstService + services; ++number) {
            world.serve(number);
            world.clock.advance(100ms + std::chrono::milliseconds(seed % 7));
        }
        // It would rank first again and read the records anew.
        REQUIRE(world.ownerOf(world.peer));
        owner.process.kill();
        world.network.heal();
        world.clock.advance(60s);
        CHECK(world.running() == world.accepted);
        CHECK(world.accepted > services / 2);
        CHECK(world.openTransfers() == 0);
        CHECK(world.judge.summary() == "");
    }
}
