// The room reserved for a batch task is freed exactly once, and never while the task runs.
#include "Dispatch/TaskLauncherService.h"

#include "Dispatch/RequestWorld.h"
#include "Scheduler/Reservation.h"
#include "Scheduler/TaskSpec.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using DispatchTests::RequestWorld;

namespace {

class NoPeers final : public Scheduler::PeerPort {
public:
    void call(const std::string&, const std::string&, const nlohmann::json&, Common::Duration, Reply) override { }
    void serve(const std::string&, Handler) override { }
};

/// One worker with two slots.
struct TaskLauncherWorld : RequestWorld {
    TaskLauncherWorld()
        : RequestWorld(2, 1)
        , launcher(context, { config, members, noPeers, workers, workers, pool, shards, placement, health }, {})
    {
        launcher.start();
    }
    Common::Result<Scheduler::Reservation> reserve()
    {
        std::optional<Common::Result<Scheduler::Reservation>> outcome;
        launcher.reserve(
            spec(), [&outcome](const Common::Result<Scheduler::Reservation>& result) { outcome = result; });
        REQUIRE(outcome);
        return *outcome;
    }
    static Scheduler::TaskSpec spec()
    {
        Scheduler::TaskSpec spec;
        spec.task = Common::TaskId("j-00-k1#1");
        spec.job = Common::JobId("j-00-k1");
        spec.declared = { .slots = 1 };
        return spec;
    }

    NoPeers noPeers;
    Dispatch::TaskLauncherService launcher;
};

} // namespace

TEST_CASE("a reservation that is repeated before the start keeps the same room, and its release frees it")
{
    TaskLauncherWorld world;
    const auto first = world.reserve();
    const auto second = world.reserve();
    REQUIRE((first && second));
    CHECK(second->worker == first->worker);
    CHECK(world.placement.freeSlots() == 1);
    world.launcher.release(*second);
    CHECK(world.placement.freeSlots() == 2);
}

TEST_CASE("a repeated reservation after the start doesn't let a release free a running task's room")
{
    TaskLauncherWorld world;
    const auto reserved = world.reserve();
    REQUIRE(reserved);
    world.launcher.start(*reserved, TaskLauncherWorld::spec(), [](const Common::Result<Common::Done>&) {});
    world.workers.report("w0", 1000, { TaskLauncherWorld::spec().task });
    REQUIRE(world.placement.freeSlots() == 1);
    CHECK_FALSE(world.reserve());
    world.launcher.release(*reserved);
    CHECK(world.placement.freeSlots() == 1);
}

TEST_CASE("a reservation of a task that an earlier owner of the worker started is refused")
{
    TaskLauncherWorld world;
    world.workers.report("w0", 1000, { TaskLauncherWorld::spec().task });
    REQUIRE(world.placement.freeSlots() == 1);
    const auto late = world.reserve();
    CHECK_FALSE(late);
    CHECK(world.placement.freeSlots() == 1);
}
