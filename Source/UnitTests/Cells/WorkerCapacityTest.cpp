// Tests that no start brings a worker over a capacity that shrinks while it runs.
#include "Cells/CellWorker.h"
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

#include <map>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;
using Source = RunWorker::CapacitySource;

TEST_CASE("a worker whose capacity has shrunk gets no starts over it until it grows again")
{
    for (const Source source : { Source::List, Source::Reports }) {
        CAPTURE(static_cast<int>(source));
        Fleet fleet;
        std::map<uint64_t, Outcome> outcomes;
        for (uint64_t number = 1; number <= 26; ++number)
            fleet.submit(*fleet.hosts[0], CellWorld::job(number, "run:6000", 1), outcomes[number]);
        fleet.clock.advance(1s);
        REQUIRE(fleet.running() == 26);
        for (const auto& worker : fleet.workers)
            worker->setCapacity(1000, source);
        fleet.clock.advance(2500ms);
        const Cells::CellLoad load = fleet.owner()->cellOwnership.engines().begin()->second->load();
        CHECK(load.freeMilliCores >= 0);
        for (uint64_t number = 27; number <= 50; ++number)
            fleet.submit(*fleet.hosts[0], CellWorld::job(number, "run:800", 1), outcomes[number]);
        fleet.clock.advance(5s);
        CHECK(fleet.running() <= 8);
        for (const auto& worker : fleet.workers)
            worker->setCapacity(4000, source);
        fleet.clock.advance(10s);
        CHECK(fleet.judge.summary() == "");
        CHECK(fleet.phase(*fleet.hosts[0], 50) == JobPhase::Completed);
    }
}

TEST_CASE("an old entry of the list doesn't undo the capacity that a worker reports")
{
    Cells::WorkerEntry entry;
    entry.capacity = { 0, 4000, 1000, 0 };
    const Cells::CellSettings settings;
    Cells::CellWorker worker(entry, settings);
    worker.updateCapacity({ 0, 1000, 1000, 0 });
    worker.update(entry);
    CHECK(worker.entry().capacity.milliCores == 1000);
    entry.capacity.milliCores = 2000;
    worker.update(entry);
    CHECK(worker.entry().capacity.milliCores == 1000);
    entry.capacity.milliCores = 500;
    worker.update(entry);
    CHECK(worker.entry().capacity.milliCores == 500);
    worker.updateCapacity({ 0, 4000, 1000, 0 });
    CHECK(worker.entry().capacity.milliCores == 4000);
}
