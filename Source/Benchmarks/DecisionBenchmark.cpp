// Benchmark: processor time of admission, routing and placement alone, at 50, 510 and 5,100 workers, and of the model
// that paces backfill. Fails when placement exceeds the processor budget of the control plane or grows faster than the
// logarithm of the worker count.
#include "Policy/AdmissionQueue.h"
#include "Policy/BackfillPace.h"
#include "Policy/Placement.h"
#include "Policy/Router.h"
#include "Policy/TailLatencyModel.h"

#include <benchmark/benchmark.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <memory>

using namespace Policy;
using namespace std::chrono_literals;
using Common::Duration;
using Common::MonotonicTime;
using Common::Resources;
using Scheduler::TaskKind;

namespace {

constexpr Resources capacity { .slots = 8, .milliCores = 16000, .memoryMegabytes = 60000, .accelerators = 1 };
constexpr Resources small { .slots = 1, .milliCores = 1000, .memoryMegabytes = 2000 };
constexpr int classCount = 12;
/// 4.7% of one core, divided by 5,000 starts per second.
constexpr double placementBudgetNanoseconds = 0.047 * 1e9 / 5000;
/// Allowance for noise and cache misses on top of logarithmic growth.
constexpr double growthAllowance = 1.5;

PlacementRequest requestOf(int number)
{
    const bool batch = number % 3 != 0;
    const WorkClass workClass("class" + std::to_string(number % classCount));
    return PlacementRequest { small, batch ? TaskKind::Batch : TaskKind::Request, workClass };
}

/// Workers with six of eight slots in use, and an interference model that knows all pairings.
struct Fleet {
    InterferenceModel interference;
    WorkerHealth health;
    Placement placement { {}, interference, health };
    std::mt19937_64 random { 1 };
    MonotonicTime now { 1h };
    std::vector<PlacementRequest> requests;

    explicit Fleet(size_t workers)
    {
        for (int i = 0; i < classCount; ++i)
            requests.push_back(requestOf(i));
        for (size_t i = 0; i < workers; ++i)
            placement.upsert(reportOf(i), false, now);
        for (size_t i = 0; i < workers; ++i) {
            for (int task = 0; task < 6; ++task) {
                const Common::TaskId id("held-" + std::to_string(i) + "-" + std::to_string(task));
                placement.commit(reportOf(i).worker, id, requests[(i + task) % classCount], now);
            }
        }
    }
    static Scheduler::WorkerReport reportOf(size_t index)
    {
        Scheduler::WorkerReport report { .worker = Common::WorkerId("worker-" + std::to_string(index)) };
        report.rack = Common::RackId("rack-" + std::to_string(index / 8));
        report.capacity = capacity;
        return report;
    }
};

void place(benchmark::State& state)
{
    Fleet fleet(static_cast<size_t>(state.range(0)));
    uint64_t number = 0;
    for (auto _ : state) {
        const PlacementRequest& request = fleet.requests[number % classCount];
        const Common::TaskId task("task-" + std::to_string(++number));
        const auto chosen = fleet.placement.choose(request, fleet.now, fleet.random);
        if (!chosen || !fleet.placement.commit(*chosen, task, request, fleet.now)) {
            state.SkipWithError("nothing fits");
            break;
        }
        fleet.placement.release(task);
    }
}
BENCHMARK(place)->Name("placement/start")->Arg(50)->Arg(510)->Arg(5100);

void report(benchmark::State& state)
{
    Fleet fleet(static_cast<size_t>(state.range(0)));
    Scheduler::WorkerReport next = Fleet::reportOf(0);
    for (int task = 0; task < 6; ++task) {
        Scheduler::TaskReport entry { .task = Common::TaskId("held-0-" + std::to_string(task)), .declared = small };
        entry.used = small;
        next.tasks.push_back(entry);
    }
    for (auto _ : state) {
        next.clock.milliseconds += 1000;
        for (Scheduler::TaskReport& task : next.tasks)
            task.sampledAt.milliseconds = next.clock.milliseconds - 500;
        fleet.placement.upsert(next, false, fleet.now);
    }
}
BENCHMARK(report)->Name("placement/report")->Arg(50)->Arg(510)->Arg(5100);

/// One offer and one take with a queue of ten requests a worker.
void admit(benchmark::State& state)
{
    AdmissionQueue queue({ .maximumQueued = 100000 });
    const Common::ProfileName profile("preview");
    Scheduler::ClusterConfig config;
    config.profiles[profile] = Scheduler::Profile { .name = profile, .maximumQueued = 100000 };
    queue.setConfig(std::make_shared<Scheduler::ClusterConfig>(config));
    MonotonicTime now { 1h };
    uint64_t number = 0;
    const auto offer = [&] {
        ++number;
        queue.offer(
            QueuedRequest { Common::RequestId("request-" + std::to_string(number)), profile, Common::TeamName("team"),
                static_cast<Scheduler::Priority>(number % 4), now, now + 1s + Duration(number * 7919 % 500000) },
            now);
    };
    for (int64_t i = 0; i < state.range(0) * 10; ++i)
        offer();
    for (auto _ : state) {
        offer();
        benchmark::DoNotOptimize(queue.takeNext(now));
    }
}
BENCHMARK(admit)->Name("admission/offer-and-take")->Arg(50)->Arg(510)->Arg(5100);

/// One daemon per fifty workers, in three regions; each request considers all daemons.
void route(benchmark::State& state)
{
    LinkBudget link(3e6, 1e6);
    Router router({}, link);
    std::mt19937_64 random(1);
    RouteQuery query { .spill = Scheduler::SpillScope::Everywhere, .bytes = 1000, .timeLeft = 2s };
    for (int64_t i = 0; i < std::max<int64_t>(3, state.range(0) / 50); ++i) {
        Scheduler::PeerInfo peer { .id = Common::DaemonId("daemon-" + std::to_string(i)) };
        peer.domain = Common::DomainId("domain-" + std::to_string(i % 10));
        peer.region = Common::RegionId("region-" + std::to_string(i % 10 % 3));
        peer.freeSlots = 10 + i;
        query.peers.push_back(peer);
    }
    query.self = query.peers[0];
    query.self.freeSlots = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(query, MonotonicTime { 1h }, random));
}
BENCHMARK(route)->Name("routing/choose")->Arg(50)->Arg(510)->Arg(5100);

/// A model with its own estimates of ten backfill images beside eight service images, and those of 18 other cells.
struct LearnedTails {
    std::vector<std::string> backfills;
    std::vector<std::string> services;
    TailLatencyModel model;

    LearnedTails()
    {
        for (int i = 0; i < 10; ++i)
            backfills.push_back("registry/backfill-" + std::to_string(i));
        for (int i = 0; i < 8; ++i)
            services.push_back("registry/service-" + std::to_string(i));
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int cell = 0; cell < 18; ++cell) {
            for (const std::string& backfill : backfills) {
                for (const std::string& service : services)
                    model.adopt("cell-" + std::to_string(cell),
                        { { backfill, service, 5 * uniform(random), 0.01 + uniform(random) } });
            }
        }
        for (int i = 0; i < 2000; ++i)
            model.observe(services[random() % services.size()],
                { 0.2 + uniform(random),
                    { { backfills[random() % backfills.size()], 0.2 * uniform(random) },
                        { backfills[random() % backfills.size()], 0.2 * uniform(random) } } });
    }
    /// A worker with three services and four backfill runs.
    Colocation colocation() const
    {
        Colocation colocation;
        for (size_t i = 0; i < 3; ++i)
            colocation.services.push_back({ services[i], 0.3 + 0.1 * static_cast<double>(i) });
        for (size_t i = 0; i < 4; ++i) {
            colocation.runs.push_back({ backfills[i], 0.1, 0.1, 100 });
            colocation.recentBackfill.push_back({ backfills[i], 0.1 });
        }
        return colocation;
    }
};

void pressure(benchmark::State& state)
{
    const LearnedTails tails;
    size_t number = 0;
    for (auto _ : state) {
        ++number;
        benchmark::DoNotOptimize(tails.model.pressure(
            tails.backfills[number % tails.backfills.size()], tails.services[number % tails.services.size()]));
    }
}
BENCHMARK(pressure)->Name("backfill/pressure");

void paceNewRun(benchmark::State& state)
{
    const LearnedTails tails;
    const Colocation colocation = tails.colocation();
    size_t number = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            paceForNewRun(tails.model, colocation, tails.backfills[++number % tails.backfills.size()], 0.1));
}
BENCHMARK(paceNewRun)->Name("backfill/pace-of-new-run");

void paceRuns(benchmark::State& state)
{
    const LearnedTails tails;
    const Colocation colocation = tails.colocation();
    for (auto _ : state)
        benchmark::DoNotOptimize(paceBackfill(tails.model, colocation, Duration::zero()));
}
BENCHMARK(paceRuns)->Name("backfill/pace-of-runs");

/// Records the medians of processor time, which are checked against the bounds.
class MedianReporter : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override
    {
        for (const Run& run : runs) {
            if (run.aggregate_name == "median")
                medians[run.benchmark_name()] = run.GetAdjustedCPUTime();
        }
        ConsoleReporter::ReportRuns(runs);
    }

    std::map<std::string, double> medians;
};

bool checkBound(const char* name, double value, double bound)
{
    const bool met = value > 0 && value <= bound;
    std::printf("%s %-50s %10.4g  bound <= %.4g\n", met ? "ok  " : "MISS", name, value, bound);
    return met;
}

} // namespace

int main()
{
    char program[] = "DecisionBenchmark";
    char repetitions[] = "--benchmark_repetitions=5";
    char minimumTime[] = "--benchmark_min_time=0.1";
    char aggregates[] = "--benchmark_report_aggregates_only=true";
    char* arguments[] = { program, repetitions, minimumTime, aggregates };
    int count = 4;
    benchmark::Initialize(&count, arguments);
    MedianReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    const auto start
        = [&](int workers) { return reporter.medians["placement/start/" + std::to_string(workers) + "_median"]; };
    bool met = checkBound("placement at 5,100 workers, ns of a core a start", start(5100), placementBudgetNanoseconds);
    const double logarithm = std::log2(5100) / std::log2(50);
    met &= checkBound("placement, 5,100 against 50 workers", start(5100) / start(50), logarithm * growthAllowance);
    return met ? 0 : 1;
}
