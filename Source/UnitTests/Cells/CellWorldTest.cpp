// Tests of whole entry hosts: jobs are accepted, run and finished despite failures of owners, the store and workers.
#include "Cells/Fleet.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

TEST_CASE("a job submitted at any host is accepted, runs step by step and completes")
{
    Fleet fleet;
    REQUIRE(fleet.owners() == 1);
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:300", 4, 3), outcome);
    fleet.clock.advance(200ms);
    REQUIRE(outcome);
    CHECK(outcome->hasValue());
    fleet.clock.advance(3s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.starts == 12);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("the same id submitted at two hosts makes one job")
{
    Fleet fleet;
    Outcome first;
    Outcome second;
    fleet.submit(*fleet.hosts[0], CellWorld::job(1, "run:300", 3), first);
    fleet.submit(*fleet.hosts[1], CellWorld::job(1, "run:300", 3), second);
    fleet.clock.advance(3s);
    REQUIRE((first && second));
    CHECK((first->hasValue() && second->hasValue()));
    CHECK(fleet.judge.starts == 3);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("runs survive the crash of their owner and no task runs twice")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:5000", 8, 2), outcome);
    fleet.clock.advance(1s);
    REQUIRE(fleet.judge.starts == 8);
    fleet.owner()->process.kill();
    fleet.clock.advance(16s);
    CHECK(fleet.owners() == 1);
    CHECK(fleet.judge.starts == 16);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("an owner that was paused and replaced violates no guarantee when it resumes")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:900", 8, 6), outcome);
    fleet.clock.advance(500ms);
    WorldHost* const frozen = fleet.owner();
    frozen->process.pause();
    fleet.clock.advance(6s);
    frozen->process.resume();
    fleet.clock.advance(12s);
    CHECK(fleet.owners() == 1);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("an accepted job survives the crash of all hosts")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:400", 4, 2), outcome);
    while (!outcome)
        fleet.clock.step();
    REQUIRE(outcome->hasValue());
    for (const auto& host : fleet.hosts)
        host->process.kill();
    fleet.clock.advance(2s);
    for (const char* const name : { "a:1", "b:1", "c:1" })
        fleet.addHost("yard", name);
    fleet.clock.advance(9s);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("submissions are answered while their cell's owner is considered dead")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        WorldHost& front = fleet.other();
        fleet.owner()->process.kill();
        fleet.clock.advance(1200ms);
        front.process.advancePerRead = 1ms;
        std::vector<Outcome> outcomes(100);
        for (size_t number = 0; number < outcomes.size(); ++number) {
            fleet.submit(front, CellWorld::job(number + 1, "run:100", 1), outcomes[number]);
            fleet.clock.advance(1ms);
        }
        fleet.clock.advance(5s);
        CHECK(
            std::all_of(outcomes.begin(), outcomes.end(), [](const Outcome& outcome) { return outcome.has_value(); }));
        CHECK(fleet.judge.summary().empty());
    }
}

TEST_CASE("accepted jobs continue while the store is down and new ones are rejected")
{
    Fleet fleet;
    Outcome before;
    Outcome meanwhile;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:400", 4, 4), before);
    fleet.clock.advance(200ms);
    fleet.store.down = true;
    fleet.submit(fleet.other(), CellWorld::job(2, "run:400", 4), meanwhile);
    fleet.clock.advance(4s);
    CHECK(fleet.judge.starts == 16);
    REQUIRE(meanwhile);
    CHECK_FALSE(meanwhile->hasValue());
    CHECK(meanwhile->reason().retryAfter.has_value());
    fleet.store.down = false;
    fleet.clock.advance(3s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Completed);
    CHECK_FALSE(fleet.phase(fleet.other(), 2));
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a host that the store rejects reaches it through another host")
{
    Fleet fleet;
    WorldHost* const owner = fleet.owner();
    fleet.store.rejectedHosts.insert(owner->address);
    fleet.clock.advance(200ms);
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:400", 4), outcome);
    fleet.clock.advance(1500ms);
    REQUIRE(outcome);
    CHECK(outcome->hasValue());
    fleet.clock.advance(3s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("runs lost in a worker's reboot run once on other workers")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:2000", 8), outcome);
    fleet.clock.advance(1s);
    fleet.workers[0]->restart();
    fleet.clock.advance(8s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("tasks of an unreachable worker wait until its lease has provably expired")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:60000", 8), outcome);
    fleet.clock.advance(1s);
    const auto busy = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
    REQUIRE(busy != fleet.workers.end());
    const size_t stranded = (*busy)->running();
    for (const auto& host : fleet.hosts) {
        fleet.network.cut(host->address, (*busy)->entry().address);
        fleet.network.cut((*busy)->entry().address, host->address);
    }
    fleet.clock.advance(3s);
    CHECK(fleet.judge.starts == 8);
    fleet.clock.advance(9s);
    CHECK(fleet.judge.starts == 8 + stranded);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a successor doesn't wait for the authority of an owner that reports the loss of the cell to end")
{
    Fleet fleet;
    Outcome outcome;
    Jobs::JobRecord service = CellWorld::service(1, 8);
    service.spec.steps[0].maximumPerWorker = 1;
    fleet.submit(fleet.other(), service, outcome);
    fleet.clock.advance(1s);
    REQUIRE(fleet.running() == 8);
    WorldHost* const frozen = fleet.owner();
    frozen->process.pause();
    fleet.clock.advance(500ms);
    // The successor can't poll a crashed worker; its task fits on another worker.
    fleet.workers[0]->crash();
    const auto hasSuccessor = [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
            [&](const auto& host) { return host.get() != frozen && !host->cellOwnership.engines().empty(); });
    };
    for (size_t steps = 0; steps < 500 && !hasSuccessor(); ++steps)
        fleet.clock.advance(10ms);
    REQUIRE(hasSuccessor());
    frozen->process.resume();
    // The last lease that the paused owner may have granted, plus the time until it learns that it was replaced; less
    // than its authority.
    fleet.clock.advance(7400ms);
    CHECK(fleet.owners() == 1);
    CHECK(fleet.owner()->cellOwnership.engines().begin()->second->hasContactedInheritedWorkers());
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a host that resumes takes no cell from a live owner whose heartbeats it missed")
{
    Fleet fleet;
    WorldHost* const owner = fleet.owner();
    WorldHost& sleeper = fleet.other();
    const std::string record = *fleet.store.value(Cells::StoreKeys::cell(Cells::CellId("yard-0")));
    sleeper.process.pause();
    // Messages to a paused host are read after its timers have run, or lost.
    for (WorldHost* const host : fleet.live())
        fleet.network.cut(host->address, sleeper.address);
    fleet.clock.advance(4s);
    fleet.network.heal();
    sleeper.process.resume();
    fleet.clock.advance(4s);
    CHECK(fleet.owner() == owner);
    CHECK(*fleet.store.value(Cells::StoreKeys::cell(Cells::CellId("yard-0"))) == record);
}

TEST_CASE("a successor learns during the takeover that its predecessor has lost the cell")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        Outcome outcome;
        Jobs::JobRecord service = CellWorld::service(1, 8);
        service.spec.steps[0].maximumPerWorker = 1;
        fleet.submit(fleet.other(), service, outcome);
        fleet.clock.advance(1s);
        REQUIRE(fleet.running() == 8);
        WorldHost* const frozen = fleet.owner();
        const std::string key = Cells::StoreKeys::cell(Cells::CellId("yard-0"));
        const std::string record = *fleet.store.value(key);
        frozen->process.pause();
        fleet.clock.advance(500ms);
        fleet.workers[0]->crash();
        const Common::MonotonicTime end = fleet.clock.now() + 6s;
        while (*fleet.store.value(key) == record && fleet.clock.now() < end)
            fleet.clock.step();
        REQUIRE(*fleet.store.value(key) != record);
        // The takeover takes longer than the predecessor needs to learn of it.
        fleet.network.setMaximumDelay(400ms);
        frozen->process.resume();
        Outcome other;
        fleet.submit(*frozen, CellWorld::job(2, "run:100", 1), other);
        fleet.clock.advance(2s);
        fleet.network.heal();
        fleet.clock.advance(8s);
        REQUIRE(fleet.owners() == 1);
        CHECK(fleet.owner()->cellOwnership.engines().begin()->second->hasContactedInheritedWorkers());
        CHECK(fleet.judge.summary().empty());
    }
}

TEST_CASE("orders that are carried out late start no task twice")
{
    Fleet fleet(7);
    fleet.latePerMille = 200;
    std::vector<Outcome> outcomes(12);
    for (uint64_t number = 0; number < outcomes.size(); ++number)
        fleet.submit(fleet.other(), CellWorld::job(number + 1, "run:700", 3, 3), outcomes[number]);
    fleet.clock.advance(40s);
    fleet.latePerMille = 0;
    fleet.clock.advance(20s);
    for (uint64_t number = 1; number <= outcomes.size(); ++number)
        CHECK(fleet.phase(fleet.other(), number) == JobPhase::Completed);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a cancelled job stops and stays cancelled after a takeover")
{
    Fleet fleet;
    Outcome accepted;
    Outcome cancelled;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:60000", 8), accepted);
    fleet.clock.advance(1s);
    fleet.hosts[2]->front.cancel(
        CellWorld::jobId(1), 2s, [&](const Common::Result<Common::Done>& done) { cancelled = done; });
    fleet.clock.advance(1s);
    REQUIRE(cancelled);
    CHECK(cancelled->hasValue());
    for (const auto& worker : fleet.workers)
        CHECK(worker->running() == 0);
    fleet.owner()->process.kill();
    fleet.clock.advance(6s);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Cancelled);
    CHECK(fleet.judge.starts == 8);
}

TEST_CASE("a task that always fails makes its job fail after the route's maximum number of attempts")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "fail:300", 1), outcome);
    fleet.clock.advance(5s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Failed);
    CHECK(fleet.judge.starts == 2);
}

TEST_CASE("a failure that a successor reads again counts once")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "fail:300", 1), outcome);
    // The first failure has been read and committed, but not acknowledged to the worker.
    while (fleet.judge.starts < 2)
        fleet.clock.step();
    fleet.owner()->process.kill();
    fleet.clock.advance(1s);
    CHECK(fleet.judge.starts == 2);
    fleet.clock.advance(5s);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Failed);
    CHECK(fleet.judge.starts <= 3);
}

TEST_CASE("a draining host hands its cells over without losing a run")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:1500", 8, 3), outcome);
    fleet.clock.advance(800ms);
    WorldHost* const leaving = fleet.owner();
    bool drained = false;
    leaving->cellOwnership.drain([&] { drained = true; });
    fleet.clock.advance(1500ms);
    CHECK(drained);
    CHECK(fleet.owners() == 1);
    CHECK(fleet.owner() != leaving);
    fleet.clock.advance(6s);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Completed);
    CHECK(fleet.judge.starts == 24);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a run without progress is moved to another worker")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "hang", 1), outcome);
    fleet.clock.advance(8s);
    CHECK(fleet.judge.starts >= 2);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("long-running tasks keep running and are restarted when their worker crashes")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::service(1, 6), outcome);
    fleet.clock.advance(2s);
    REQUIRE(fleet.judge.starts == 6);
    fleet.workers[0]->restart();
    fleet.workers[1]->restart();
    fleet.clock.advance(4s);
    CHECK(fleet.running() == 6);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a submission whose write isn't confirmed fails with OutcomeUnknown and may be repeated")
{
    Fleet fleet;
    fleet.store.lostPerMille = 1000;
    Outcome first;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:300", 2), first);
    fleet.clock.advance(2500ms);
    REQUIRE(first);
    CHECK(first->reason().code == Common::ErrorCode::OutcomeUnknown);
    fleet.store.lostPerMille = 0;
    fleet.clock.advance(1s);
    Outcome second;
    fleet.submit(fleet.other(), CellWorld::job(1, "run:300", 2), second);
    fleet.clock.advance(3s);
    REQUIRE(second);
    CHECK(second->hasValue());
    CHECK(fleet.judge.starts == 2);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a successor continues the attempt numbers from the ends that it reads, so that each failure counts")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::job(1, "fail:3000", 1), outcome);
    fleet.clock.advance(1s);
    // The failure happens while the cell has no owner.
    for (const auto& host : fleet.hosts)
        host->process.kill();
    fleet.clock.advance(2500ms);
    for (const char* const name : { "a:1", "b:1", "c:1" })
        fleet.addHost("yard", name);
    fleet.clock.advance(10s);
    CHECK(fleet.phase(*fleet.live().front(), 1) == JobPhase::Failed);
    CHECK(fleet.judge.starts == 2);
}

TEST_CASE("long-running tasks that find no room in their cell run in another one and are cancelled there")
{
    CellWorld world(3);
    world.addWorkers("yard", 2, 4000);
    world.addWorkers("shed", 2, 4000);
    for (const char* const name : { "a:1", "b:1" })
        world.addHost(name[0] == 'a' ? "yard" : "shed", name);
    world.clock.advance(8s);
    Outcome outcome;
    world.submit(*world.hosts[0], CellWorld::service(1, 12), outcome);
    world.clock.advance(3s);
    CHECK(world.running() == 12);
    // After a takeover of both cells the tasks stay on their workers.
    world.restart(0);
    world.restart(1);
    world.clock.advance(6s);
    CHECK(world.running() == 12);
    CHECK(world.judge.starts == 12);
    CHECK(world.cancel(1));
    CHECK(world.running() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("transferred tasks move on to another cell, and back, when their workers crash")
{
    CellWorld world(4);
    for (const char* const domain : { "yard", "shed", "barn" })
        world.addWorkers(domain, 1, 4000);
    for (const char* const domain : { "yard", "shed", "barn" })
        world.addHost(domain, std::string(domain) + ":1");
    world.clock.advance(8s);
    Outcome outcome;
    world.submit(*world.hosts[0], CellWorld::service(1, 6), outcome);
    world.clock.advance(3s);
    REQUIRE(world.running() == 6);
    const auto holding = [&](size_t tasks) {
        return std::find_if(world.workers.begin(), world.workers.end(), [tasks](const auto& worker) {
            return worker->up() && worker->running() == tasks;
        })->get();
    };
    const auto dies = [&](CellTests::RunWorker& worker, size_t left) {
        worker.crash();
        world.clock.advance(10s);
        CHECK(world.running() == left);
    };
    // The two transferred tasks move on to the free cell, and from there back to a cell that held them before.
    CellTests::RunWorker* const second = holding(2);
    CellTests::RunWorker* const third = holding(0);
    dies(*second, 6);
    REQUIRE(third->running() == 2);
    second->restart();
    world.clock.advance(2s);
    dies(*third, 6);
    CHECK(second->running() == 2);
    // New owners, which know of the transfers only from the store, leave the tasks in place.
    for (size_t index = 0; index < 3; ++index)
        world.restart(index);
    world.clock.advance(6s);
    CHECK(world.running() == 6);
    CHECK(world.cancel(1));
    CHECK(world.running() == 0);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("services that lose their worker all move at once to the cell that has room")
{
    CellWorld world(5);
    for (const char* const domain : { "yard", "shed" }) {
        world.addWorkers(domain, 1, 16000);
        world.addHost(domain, std::string(domain) + ":1");
    }
    world.clock.advance(8s);
    std::vector<Outcome> outcomes(12);
    for (size_t number = 0; number < outcomes.size(); ++number) {
        world.submit(*world.hosts[0], CellWorld::service(number + 1, 1), outcomes[number]);
    }
    world.clock.advance(2s);
    REQUIRE(world.running() == 12);
    CellTests::RunWorker& fuller = *world.workers[world.workers[0]->running() > world.workers[1]->running() ? 0 : 1];
    const size_t lost = fuller.running();
    REQUIRE(lost >= 5);
    fuller.crash();
    while (world.running() == 12 - lost)
        world.clock.advance(100ms);
    world.clock.advance(1s);
    CHECK(world.running() == 12);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("tasks transferred to two cells while the store is down arrive in both")
{
    CellWorld world(6);
    world.addWorkers("yard", 1, 4000);
    world.addWorkers("shed", 1, 2000);
    world.addWorkers("barn", 1, 2000);
    for (const char* const domain : { "yard", "shed", "barn" })
        world.addHost(domain, std::string(domain) + ":1");
    world.clock.advance(8s);
    Outcome outcome;
    Jobs::JobRecord watch = CellWorld::service(1, 3);
    watch.spec.steps[0].resources.milliCores = 1100;
    world.submit(*world.hosts[0], watch, outcome);
    world.clock.advance(2s);
    REQUIRE(world.workers[0]->running() == 3);
    world.workers[0]->crash();
    world.clock.advance(3500ms);
    // The lease expires at 6 s; then each of the other cells has room for one task, and the third stays.
    world.store.down = true;
    world.clock.advance(8500ms);
    world.store.down = false;
    world.clock.advance(8s);
    CHECK(world.running() == 2);
    world.workers[0]->restart();
    world.clock.advance(4s);
    CHECK(world.running() == 3);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a successor waits for the workers on which its predecessor may have started transferred tasks")
{
    CellWorld world(7);
    world.addWorkers("yard", 1, 4000);
    world.addWorkers("shed", 2, 4000);
    world.addHost("yard", "a:1");
    for (const char* const name : { "b:1", "c:1" })
        world.addHost("shed", name);
    world.clock.advance(8s);
    REQUIRE(world.live()[1]->cellOwnership.servedCells() == 2);
    const auto inShed = [&world] { return world.workers[1]->running() + world.workers[2]->running(); };
    // Submitted directly to the cell, which can't hold all of the tasks.
    Jobs::JobRecord service = CellWorld::service(1, 6);
    world.judge.submitted[service.id] = service.spec;
    world.hosts[0]
        ->cellOwnership.engine(Cells::CellId("yard-0"))
        ->submit(service, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    const std::string transfers
        = Cells::StoreKeys::job(Cells::CellId("shed-0"), CellWorld::jobId(1)) + Cells::StoreKeys::transferMarker;
    const auto waitFor = [&world](const std::function<bool()>& condition) {
        const Common::MonotonicTime end = world.clock.now() + 5s;
        while (!condition() && world.clock.now() < end)
            world.clock.step();
        REQUIRE(condition());
    };
    waitFor([&] { return world.store.countWithPrefix(transfers) > 0; });
    // The transfer is durable; its receipt can't become durable while the store is down.
    const std::string recordsOfShed = Cells::StoreKeys::jobs(Cells::CellId("shed-0"));
    const auto unreceived = world.store.recordsWithPrefix(recordsOfShed);
    world.store.down = true;
    world.clock.advance(2s);
    CHECK(inShed() == 0);
    world.store.down = false;
    waitFor([&] { return inShed() == 2; });
    CellTests::RunWorker& busy = *world.workers[world.workers[1]->running() > 0 ? 1 : 2];
    REQUIRE(busy.running() == 2);
    for (WorldHost* const host : world.live()) {
        if (host->cellOwnership.engine(Cells::CellId("shed-0")))
            host->process.kill();
    }
    for (WorldHost* const host : world.live()) {
        world.network.cut(host->address, busy.entry().address);
        world.network.cut(busy.entry().address, host->address);
    }
    // As an owner of an earlier release leaves it, which starts received tasks before their receipt is durable.
    world.store.replaceWithPrefix(recordsOfShed, unreceived);
    world.clock.advance(5s);
    CHECK(world.judge.summary() == "");
    world.network.heal();
    world.clock.advance(5s);
    CHECK(world.running() == 6);
    CHECK(world.judge.summary() == "");
}

TEST_CASE("a cancellation reaches tasks that are being transferred to another cell")
{
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        CellWorld world(seed);
        for (const char* const domain : { "yard", "shed" }) {
            world.addWorkers(domain, 1, 4000);
            world.addHost(domain, std::string(domain) + ":1");
        }
        world.clock.advance(8s);
        Outcome outcome;
        world.submit(*world.hosts[0], CellWorld::service(1, 6), outcome);
        while (world.store.countWithPrefix("lavendercart/job/") < 2)
            world.clock.advance(1ms);
        world.network.cut("yard:1", "shed:1");
        world.network.cut("shed:1", "yard:1");
        world.clock.advance(std::chrono::milliseconds(200 + seed * 17));
        Outcome cancelled;
        for (WorldHost* const host : world.live()) {
            for (const auto& [id, engine] : host->cellOwnership.engines())
                engine->cancel(CellWorld::jobId(1), [&](const Common::Result<Common::Done>& done) {
                    if (done)
                        cancelled = done;
                });
        }
        world.clock.advance(std::chrono::milliseconds(seed * 100));
        REQUIRE(cancelled);
        world.network.heal();
        world.clock.advance(5s);
        CHECK(world.running() == 0);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("a successor starts from the stored pressure estimates and keeps updating them")
{
    Fleet fleet;
    Outcome served;
    Jobs::JobRecord service = CellWorld::service(1, 8);
    service.spec.steps[0].maximumPerWorker = 1;
    service.spec.steps[0].latencyTarget = 20ms;
    service.spec.steps[0].image = "service";
    fleet.submit(fleet.other(), service, served);
    Outcome filled;
    Jobs::JobRecord backfill = CellWorld::job(2, "run:60000", 4);
    backfill.spec.steps[0].backfill = true;
    backfill.spec.steps[0].image = "batch";
    fleet.submit(fleet.other(), backfill, filled);
    const auto estimate = [&]() -> std::optional<Policy::TailLatencyModel::PressureEstimate> {
        WorldHost* const owner = fleet.owner();
        for (const auto& known : owner ? owner->cellOwnership.engines().begin()->second->pressureEstimates(10)
                                       : std::vector<Policy::TailLatencyModel::PressureEstimate> {}) {
            if (known.backfill == "batch" && known.service == "service")
                return known;
        }
        return std::nullopt;
    };
    fleet.clock.advance(10s);
    REQUIRE(estimate());
    CHECK(estimate()->pressure < 0.8);
    const double variance = estimate()->variance;
    for (WorldHost* const host : fleet.live())
        host->process.kill();
    for (const char* const name : { "d:1", "e:1" })
        fleet.addHost("yard", name);
    fleet.clock.advance(4s);
    REQUIRE(estimate());
    CHECK(estimate()->variance < 2 * variance + 0.2);
    // The backfill image now slows down the service, and the new owner's estimate rises.
    for (const auto& worker : fleet.workers)
        worker->tail = worker->running() > 1 ? 60 : 8;
    fleet.clock.advance(20s);
    CHECK(estimate()->pressure > 1);
}

TEST_CASE("after a restart of all hosts a crashed worker delays other tasks no longer than its lease")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::service(1, 8), outcome);
    fleet.clock.advance(2s);
    REQUIRE(fleet.judge.starts == 8);
    for (const auto& host : fleet.hosts)
        host->process.kill();
    for (const auto& worker : fleet.workers) {
        if (worker->running() > 0)
            worker->crash();
    }
    fleet.clock.advance(500ms);
    for (const char* const name : { "a:1", "b:1", "c:1" })
        fleet.addHost("yard", name);
    fleet.clock.advance(9s);
    size_t running = 0;
    for (const auto& worker : fleet.workers)
        running += worker->running();
    CHECK(running == 8);
    CHECK(fleet.judge.summary().empty());
}

// Guards against a time of a scheduled job that runs again since its ends were acknowledged by a successor whose clock
// said that it wasn't due yet.
TEST_CASE("a successor whose clock is behind takes in what its predecessor started of a scheduled job")
{
    for (int64_t killedAfter = 2020; killedAfter <= 3400; killedAfter += 60) {
        CAPTURE(killedAfter);
        Fleet world(static_cast<uint64_t>(killedAfter));
        Jobs::JobRecord record = CellWorld::job(1, "run:300", 2);
        record.spec.occurrences = 3;
        record.spec.firstDueMilliseconds = world.clock.wallMilliseconds() + 2000;
        record.spec.interval = 1s;
        Outcome submitted;
        world.submit(world.other(), record, submitted);
        world.clock.advance(std::chrono::milliseconds(killedAfter));
        WorldHost& first = *world.owner();
        for (const auto& host : world.hosts)
            host->process.wallOffset = host.get() == &first ? 0ms : -8000ms;
        first.process.kill();
        world.clock.advance(40s);
        CHECK(world.phase(world.other(), 1) == Jobs::JobPhase::Completed);
        CHECK(world.judge.starts == 6);
        CHECK(world.judge.summary() == "");
    }
}

TEST_CASE("failures that a successor reads out of order count once each")
{
    Cells::LiveJob job(CellWorld::job(1, "fail:100", 1), true, Common::MonotonicTime {}, 0);
    job.openDueOccurrences(Common::MonotonicTime {}, 0);
    const Jobs::TaskName task { CellWorld::jobId(1), 0, 0, 0 };
    CHECK_FALSE(job.markFailed(task, Common::AttemptNumber { 4 }));
    CHECK_FALSE(job.markFailed(task, Common::AttemptNumber { 4 }));
    CHECK(job.markFailed(task, Common::AttemptNumber { 3 }));
}

TEST_CASE("a successor doesn't wait for a worker that left without runs")
{
    Fleet fleet;
    Outcome outcome;
    fleet.submit(fleet.other(), CellWorld::service(1, 4), outcome);
    fleet.clock.advance(2s);
    const auto idle = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() == 0; });
    REQUIRE(idle != fleet.workers.end());
    (*idle)->crash();
    fleet.clock.advance(4s);
    const auto record = fleet.store.value(Cells::StoreKeys::cellWorkers(Cells::CellId("yard-0")));
    REQUIRE(record);
    CHECK(record->find("\"" + (*idle)->entry().id.value() + "\"") == std::string::npos);
    // A worker that crashes together with the owner is waited for while the former owner may still grant it leases;
    // that ends when another process runs in the owner's place.
    const auto busy = std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& worker) { return worker->running() > 0; });
    WorldHost* const dead = fleet.owner();
    const std::string address = dead->address;
    // Prevents a handover to the returning host, which would restart the wait.
    for (const auto& host : fleet.hosts)
        host->settings.handOverDelay = 60s;
    dead->process.kill();
    (*busy)->crash();
    fleet.clock.advance(4s);
    fleet.addHost("yard", address);
    fleet.clock.advance(8s);
    size_t running = 0;
    for (const auto& worker : fleet.workers)
        running += worker->running();
    CHECK(running == 4);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("while the store is down callers get their final answers without waiting for their deadlines")
{
    Fleet fleet;
    fleet.store.down = true;
    Outcome first;
    fleet.submit(*fleet.owner(), CellWorld::job(1, "run:300", 1), first);
    fleet.clock.advance(1000ms);
    REQUIRE(first);
    CHECK(first->reason().code == Common::ErrorCode::StoreUnavailable);
    // The host knows by now that writes fail.
    Outcome second;
    fleet.submit(fleet.other(), CellWorld::job(2, "run:300", 1), second);
    fleet.clock.advance(400ms);
    REQUIRE(second);
    CHECK(second->reason().code == Common::ErrorCode::StoreUnavailable);
    CHECK(second->reason().retryAfter.has_value());
    fleet.store.down = false;
    fleet.store.lostPerMille = 1000;
    fleet.clock.advance(3s);
    Outcome unclear;
    fleet.submit(*fleet.owner(), CellWorld::job(3, "run:300", 1), unclear);
    fleet.clock.advance(1200ms);
    REQUIRE(unclear);
    CHECK(unclear->reason().code == Common::ErrorCode::OutcomeUnknown);
    CHECK(fleet.judge.starts == 0);
}

TEST_CASE("a worker whose runs all failed for a while gets its share of runs again")
{
    Fleet fleet;
    // At most one task of a job runs on each worker: packing would leave most workers idle.
    std::vector<Outcome> outcomes(120);
    fleet.workers[0]->failsAll = true;
    const auto submitSome = [&](size_t from, size_t to) {
        for (size_t number = from; number < to; ++number) {
            Jobs::JobRecord job = CellWorld::job(number + 1, "run:700", 8);
            job.policy.maximumAttempts = 0;
            job.spec.steps[0].maximumPerWorker = 1;
            fleet.submit(fleet.other(), job, outcomes[number]);
            fleet.clock.advance(400ms);
        }
    };
    submitSome(0, 30);
    fleet.workers[0]->failsAll = false;
    submitSome(30, 90);
    const uint64_t before = fleet.workers[0]->starts;
    submitSome(90, 120);
    CHECK(fleet.workers[0]->starts - before >= 20);
    CHECK(fleet.judge.summary().empty());
}
