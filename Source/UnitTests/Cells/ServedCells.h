// Cells whose workers each run a task of a service, so that backfill runs beside services everywhere.
#pragma once

#include "Cells/CellWorld.h"
#include "Policy/BackfillPace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace CellTests {

using namespace std::chrono_literals; // NOLINT: only tests include this

/// One domain for each cell, with four workers of four cores. The service "web" declares half of each worker; its
/// target is 20 ms. `watch` records how backfill waits and whether it harms the service.
struct ServedCells : CellWorld {
    static constexpr Common::Duration target = 20ms;
    static constexpr double targetMilliseconds = 20;
    static constexpr int64_t workerMilliCores = 4000;
    static constexpr size_t workersEach = 4;
    /// After this long above the target backfill beside the service must not work on.
    static constexpr Common::Duration impactTime = 4s;
    static constexpr Common::Duration lookInterval = 100ms;

    std::vector<std::string> domains;
    std::vector<std::string> harm;
    using Since = std::map<const RunWorker*, Common::MonotonicTime>;
    /// Workers whose services are over their targets.
    Since overTargetSince;
    /// Those of them on which backfill works meanwhile.
    Since atWorkOverTargetSince;

    ServedCells(uint64_t seed, size_t cells, const std::map<std::string, double>& pressures)
        : CellWorld(seed)
    {
        for (const char* const domain : { "yard", "shed", "barn" }) {
            if (domains.size() < cells)
                domains.emplace_back(domain);
        }
        for (const std::string& domain : domains)
            addWorkers(domain, workersEach, workerMilliCores);
        for (const auto& worker : workers)
            worker->interference.emplace().pressures = pressures;
        for (const char* const name : { "a:1", "b:1", "c:1" })
            addHost(domains[hosts.size() % domains.size()], name);
        clock.advance(8s);
        for (size_t index = 0; index < cells; ++index) {
            Jobs::JobRecord service = CellWorld::service(firstService + index, workersEach);
            Jobs::StepSpec& step = service.spec.steps[0];
            step.resources.milliCores = workerMilliCores / 2;
            step.maximumPerWorker = 1;
            step.latencyTarget = target;
            step.image = "web";
            submitTo(domains[index], service);
        }
        clock.advance(4s);
        REQUIRE(std::all_of(workers.begin(), workers.end(), [](const auto& worker) { return worker->running() == 1; }));
    }
    static Jobs::JobRecord backfill(
        uint64_t number, const std::string& payload, const std::string& image, uint32_t tasks, int64_t milliCores)
    {
        Jobs::JobRecord record = job(number, payload, tasks);
        record.spec.steps[0].backfill = true;
        record.spec.steps[0].image = image;
        record.spec.steps[0].resources.milliCores = milliCores;
        return record;
    }
    Cells::CellEngine& engineOf(const std::string& domain)
    {
        const Cells::CellId cell(domain + "-0");
        Cells::CellEngine* found = nullptr;
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const engine = host->cellOwnership.engine(cell))
                found = engine;
        }
        REQUIRE(found);
        return *found;
    }
    void submitTo(const std::string& domain, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        engineOf(domain).submit(
            record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
    }
    /// The tail latency that the service has on each worker without backfill.
    void setOwnTail(double milliseconds)
    {
        for (const auto& worker : workers)
            worker->interference->ownLoad = worker->interference->loadForTail(milliseconds);
    }
    /// Runs small backfill of the image beside each service, with pauses, until the cells have learned how much it
    /// disturbs.
    void learn(uint64_t number, const std::string& image)
    {
        for (size_t round = 0; round < learningRounds; ++round) {
            for (const std::string& domain : domains) {
                Jobs::JobRecord record = backfill(number, "run:5000", image, workersEach, workerMilliCores / 16);
                record.spec.steps[0].maximumPerWorker = 1;
                submitTo(domain, record);
                ++number;
            }
            watch(10s);
        }
        while (--number > 0 && judge.submitted.contains(jobId(number)))
            REQUIRE(hasEnded(number));
    }
    /// The pace, 0 to 1, that the cell allows one more run beside its idle services.
    double learnedPace(const std::string& domain, const std::string& image, int64_t milliCores)
    {
        Policy::TailLatencyModel model;
        model.inherit(engineOf(domain).pressureEstimates(100));
        const Policy::PacedService service { "web", workers[0]->currentTail() / targetMilliseconds };
        return Policy::paceForNewRun(model, { { service }, {}, {} }, image,
            static_cast<double>(milliCores) / static_cast<double>(workerMilliCores));
    }
    bool hasEnded(uint64_t number) const
    {
        const Common::JobId id = jobId(number);
        const std::vector<Jobs::StepSpec>& steps = judge.submitted.at(id).steps;
        for (uint32_t step = 0; step < steps.size(); ++step) {
            for (uint32_t index = 0; index < steps[step].taskCount; ++index) {
                if (!judge.wasDone({ id, 0, step, index }))
                    return false;
            }
        }
        return true;
    }
    bool isWaiting(uint64_t number) const { return !hasEnded(number) && judge.running(jobId(number)) == 0; }
    void watch(Common::Duration span)
    {
        for (const Common::MonotonicTime end = clock.now() + span; clock.now() < end;)
            look();
    }
    void look()
    {
        clock.advance(lookInterval);
        for (const auto& worker : workers) {
            const bool over = worker->running() > 0 && worker->currentTail() > targetMilliseconds;
            const bool atWork = worker->hasBackfillAtWork();
            const bool isCause = worker->interference->tail(0) <= targetMilliseconds;
            if (isLongSince(overTargetSince, *worker, over) && atWork && isCause)
                harm.push_back(worker->entry().id.value() + " works on backfill that harms its service");
            if (isLongSince(atWorkOverTargetSince, *worker, over && atWork))
                harm.push_back(worker->entry().id.value() + " doesn't pause backfill while its service is over target");
        }
    }
    /// Looks for at most `span` until the job has a run or has ended; the time that took.
    Common::Duration waitFor(uint64_t number, Common::Duration span)
    {
        const Common::MonotonicTime begin = clock.now();
        while (isWaiting(number) && clock.now() - begin < span)
            look();
        return clock.now() - begin;
    }
    /// Number of looks within `span` at which the job neither has a run nor has ended.
    size_t looksWithoutRun(uint64_t number, Common::Duration span)
    {
        size_t count = 0;
        for (const Common::MonotonicTime end = clock.now() + span; clock.now() < end;) {
            look();
            count += isWaiting(number) ? 1 : 0;
        }
        return count;
    }
    std::string harmText() const { return harm.empty() ? "" : harm.front() + ", " + std::to_string(harm.size()); }

private:
    /// Whether the worker has been in the state for `impactTime` on end.
    bool isLongSince(Since& since, const RunWorker& worker, bool state) const
    {
        if (!state) {
            since.erase(&worker);
            return false;
        }
        return clock.now() - since.try_emplace(&worker, clock.now()).first->second >= impactTime;
    }

    static constexpr uint64_t firstService = 1000;
    static constexpr size_t learningRounds = 20;
};

} // namespace CellTests
