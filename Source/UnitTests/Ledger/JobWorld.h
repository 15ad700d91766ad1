// Daemons with their ledgers on one shared store and one set of workers.
#pragma once

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Fakes/FakeStore.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/JobService.h"
#include "Ledger/PausableRuntime.h"
#include "Ledger/ShardOwners.h"
#include "Ledger/TestConfig.h"
#include "Ledger/TestMembership.h"
#include "Ledger/WorkerWorld.h"

#include <memory>
#include <string>
#include <vector>

namespace LedgerTests {

struct JobDaemon {
    JobDaemon(Fakes::VirtualRuntime& world, Fakes::FakeStore& store, const Ledger::LedgerSettings& settings,
        WorkerWorld& workers, Scheduler::ConfigView& config, const std::string& name)
        : runtime(world)
        , members(name)
        , timeline(name, 100, [this] { return runtime.wallMilliseconds(); })
        , context { runtime, timeline, metrics }
        , owners(context, store.client(name, runtime), members, settings)
        , taskLauncher(workers, world, runtime)
        , jobs(context, owners, taskLauncher, config, settings,
              [&workers](const Common::WorkerId& worker) { return !workers.workers.at(worker.value()).cutOff; })
    {
        taskLauncher.onView([this](const Scheduler::WorkerView& view) { jobs.onView(view); });
        owners.start();
        jobs.start();
    }

    PausableRuntime runtime;
    TestMembership members;
    Common::Timeline timeline;
    Common::Metrics metrics;
    Scheduler::ServiceContext context;
    Ledger::ShardOwners owners;
    WorldTaskLauncher taskLauncher;
    Ledger::JobService jobs;
};

struct JobWorld {
    Fakes::VirtualRuntime runtime;
    Fakes::FakeStore store { runtime };
    Ledger::LedgerSettings settings;
    TestConfig config;
    WorkerWorld workers;
    std::vector<std::unique_ptr<JobDaemon>> daemons;

    explicit JobWorld(uint64_t seed = 1, int workerCount = 3)
        : runtime(seed)
        , workers(runtime, std::chrono::seconds(6))
    {
        settings.shardCount = 2;
        settings.slotCount = 48;
        settings.reservedSlots = 24;
        settings.snapshotEvery = 10;
        settings.longestTaskLease = std::chrono::seconds(6);
        settings.leaseMargin = std::chrono::seconds(2);
        for (int number = 0; number < workerCount; ++number)
            workers.add("w" + std::to_string(number));
    }
    JobDaemon& add(const std::string& name)
    {
        daemons.push_back(std::make_unique<JobDaemon>(runtime, store, settings, workers, config, name));
        return *daemons.back();
    }
    uint64_t random(uint64_t bound) { return runtime.random()() % bound; }
    static Ledger::JobSubmission submission(
        const std::string& key, const std::string& profile = "batch", const std::string& team = "t1", int64_t slots = 1)
    {
        return Ledger::JobSubmission { .key = key,
            .team = Common::TeamName(team),
            .profile = Common::ProfileName(profile),
            .resources = { .slots = slots },
            .command = "{}" };
    }
};

} // namespace LedgerTests
