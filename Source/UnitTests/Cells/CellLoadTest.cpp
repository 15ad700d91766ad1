// Tests which steps may run in a cell and how many of their tasks, according to the load that its heartbeat reports;
// also with heartbeats of the previous version.
#include "Cells/CellWorld.h"
#include "Cells/HostHeartbeat.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

const Common::ServiceName desk("desk");

Cells::CellLoad twoServices()
{
    Cells::CellLoad load;
    load.capacityMilliCores = 12'000;
    load.services = { { "desk", 8000 }, { "kiln", 4000 } };
    load.labels = { { "fast", 4000 }, { "r1-yard", 8000 } };
    load.largestFreeMilliCores = { 3500, 2000, 900 };
    return load;
}

Jobs::StepSpec step(const std::string& label = {})
{
    Jobs::StepSpec spec;
    spec.resources.milliCores = 1000;
    spec.requiredLabel = label;
    return spec;
}

/// Two failure domains with one cell each; the workers of the second have a label and different racks.
struct TwoYards : CellWorld {
    TwoYards()
        : CellWorld(3)
    {
        addWorkers("yard", 8, 4000);
        addWorkers("shed", 8, 4000, { "fast" });
        for (const char* const name : { "a:1", "b:1" })
            addHost("yard", name);
        for (const char* const name : { "c:1", "d:1" })
            addHost("shed", name);
        clock.advance(9s);
    }
    /// Whether all tasks of the job were started on workers of the domain.
    bool ranIn(const std::string& domain, uint64_t number, uint32_t tasks)
    {
        for (uint32_t index = 0; index < tasks; ++index) {
            const auto worker = judge.startedOn.find({ jobId(number), 0, 0, index });
            if (worker == judge.startedOn.end()
                || workerDirectory.at(worker->second + ":1")->entry().domain.value() != domain)
                return false;
        }
        return true;
    }
};

} // namespace

TEST_CASE("a cell has task slots only for steps of its services and labels")
{
    const Cells::CellLoad load = twoServices();
    CHECK(load.capacityFor(desk, step()) == 8000);
    CHECK(load.capacityFor(desk, step("fast")) == 4000);
    CHECK(load.capacityFor(desk, step("slow")) == 0);
    CHECK(load.capacityFor(Common::ServiceName("forge"), step()) == 0);
    CHECK(load.taskSlotsFor(desk, step()) == 5);
    CHECK(load.taskSlotsFor(desk, step("slow")) == 0);
    Jobs::StepSpec spread = step();
    spread.maximumPerWorker = 1;
    CHECK(load.taskSlotsFor(desk, spread) == 2);
    CHECK(load.hasRack(Common::RackId("r1-yard")));
    CHECK_FALSE(load.hasRack(Common::RackId("r2-yard")));
}

TEST_CASE("heartbeats of the previous version are decoded and rule out no cell")
{
    Cells::HostHeartbeat heartbeat;
    heartbeat.id = Common::DaemonId("a@1");
    heartbeat.cells.push_back({ Cells::CellId("yard-0"), Cells::FencingToken { 3 }, twoServices(), {} });
    heartbeat.cells[0].load.takesScheduledTasks = true;
    const auto same = Cells::HostHeartbeat::decode(heartbeat.encode());
    REQUIRE(same);
    CHECK(same->cells.at(0).load.services == heartbeat.cells[0].load.services);
    CHECK(same->cells.at(0).load.labels == heartbeat.cells[0].load.labels);
    CHECK(same->cells.at(0).load.takesScheduledTasks);
    nlohmann::json old = nlohmann::json::parse(heartbeat.encode());
    old.erase("changing");
    // What later versions append.
    REQUIRE(old["cells"][0].size() == 17);
    for (const size_t element : { 16, 15, 14, 13, 12 })
        old["cells"][0].erase(element);
    const auto earlier = Cells::HostHeartbeat::decode(old.dump());
    REQUIRE(earlier);
    CHECK(earlier->cells.at(0).load.capacityFor(desk, step("fast")) == 12'000);
    CHECK(earlier->cells.at(0).load.hasRack(Common::RackId("r9-yard")));
    CHECK_FALSE(earlier->cells.at(0).load.takesScheduledTasks);
    // A host of the previous version may be releasing a cell without reporting it.
    CHECK(earlier->mayGrantLeases(Cells::CellId("yard-9")));
    CHECK_FALSE(same->mayGrantLeases(Cells::CellId("yard-9")));
    CHECK(same->mayGrantLeases(Cells::CellId("yard-0")));
}

TEST_CASE("a job runs in the cell whose workers have its label, whichever host it was submitted to")
{
    TwoYards world;
    std::optional<Common::Result<Common::Done>> outcome;
    Jobs::JobRecord job = CellWorld::job(1, "run:300", 4);
    job.spec.steps[0].requiredLabel = "fast";
    world.submit(*world.hosts[0], job, outcome);
    world.clock.advance(3s);
    CHECK(world.phase(*world.hosts[0], 1) == JobPhase::Completed);
    CHECK(world.judge.summary().empty());
}

TEST_CASE("a job that no worker may run is rejected at once with a retry delay")
{
    TwoYards world;
    std::optional<Common::Result<Common::Done>> outcome;
    Jobs::JobRecord job = CellWorld::job(1, "run:300", 4);
    job.spec.steps[0].requiredLabel = "gilded";
    world.submit(*world.hosts[0], job, outcome);
    world.clock.advance(50ms);
    REQUIRE(outcome);
    REQUIRE_FALSE(outcome->hasValue());
    CHECK(outcome->reason().retryAfter);
    CHECK(world.judge.starts == 0);
}

TEST_CASE("a job runs in the cell that holds its data")
{
    TwoYards world;
    std::optional<Common::Result<Common::Done>> outcome;
    Jobs::JobRecord job = CellWorld::job(1, "run:300", 4);
    job.spec.steps[0].preferredRack = Common::RackId("r0-shed");
    world.submit(*world.hosts[0], job, outcome);
    world.clock.advance(3s);
    CHECK(world.ranIn("shed", 1, 4));
    CHECK(world.phase(*world.hosts[0], 1) == JobPhase::Completed);
}

TEST_CASE("a cell offers room that the ends of runs will make only if it is asked for that")
{
    Cells::CellLoad load;
    load.services["desk"] = load.capacityMilliCores = 64'000;
    load.largestFreeMilliCores = { 3000, 2000 };
    load.largestFreeAfterEnds = { 45'000, 20'000 };
    Jobs::StepSpec spec;
    spec.resources.milliCores = 20'000;
    spec.longRunning = true;
    const Common::ServiceName service("desk");
    CHECK(load.taskSlotsFor(service, spec) == 0);
    CHECK(load.taskSlotsFor(service, spec, Cells::CellLoad::RoomKind::AfterEnds) == 3);
    load.largestFreeAfterEnds.clear();
    CHECK(load.taskSlotsFor(service, spec, Cells::CellLoad::RoomKind::AfterEnds) == 0);
}

TEST_CASE("a cell offers backfill the capacity for its image, not its free processor time")
{
    Cells::CellLoad load;
    load.services["desk"] = load.capacityMilliCores = 64'000;
    load.largestFreeMilliCores = { 30'000, 20'000 };
    load.backfillMilliCores = 9000;
    load.backfillCapacity = { { "batch", 4000 } };
    Jobs::StepSpec spec;
    spec.resources.milliCores = 2000;
    spec.backfill = true;
    spec.image = "batch";
    CHECK(load.taskSlotsFor(Common::ServiceName("desk"), spec) == 2);
    spec.image = "unknown";
    CHECK(load.taskSlotsFor(Common::ServiceName("desk"), spec) == 4);
    spec.backfill = false;
    CHECK(load.taskSlotsFor(Common::ServiceName("desk"), spec) == 25);
}
