// The model learns which images disturb each other, and backfill is paced so that the services beside it meet their
// latency targets.
#include "Policy/TailLatencyModel.h"
#include "Policy/BackfillPace.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <random>

using namespace Policy;
using namespace std::chrono_literals;

namespace {

/// A worker whose tail latency is that of a queue with a varying utilization, to which backfill adds.
struct SimulatedWorker {
    static constexpr double base = 0.22;
    std::map<std::string, double> factors { { "mild", 0.2 }, { "heavy", 5 } };
    double load = 0.42;

    double tail(const std::vector<PacedRun>& runs) const
    {
        double utilization = load;
        for (const PacedRun& run : runs)
            utilization += factors.at(run.image) * run.used;
        return utilization >= 0.99 ? 20 : base / (1 - utilization);
    }
};

std::vector<TailLatencyModel::BackfillShare> backfillSharesOf(const std::vector<PacedRun>& runs)
{
    std::vector<TailLatencyModel::BackfillShare> backfillShares;
    backfillShares.reserve(runs.size());
    for (const PacedRun& run : runs)
        backfillShares.push_back({ run.image, run.used });
    return backfillShares;
}

} // namespace

TEST_CASE("the model distinguishes a disturbing from a harmless image within 60 reports")
{
    TailLatencyModel model;
    SimulatedWorker worker;
    std::mt19937_64 random(3);
    for (int report = 0; report < 60; ++report) {
        worker.load = 0.42 + 0.2 * std::sin(report / 3.0);
        std::vector<PacedRun> runs;
        if (const uint64_t kind = random() % 3; kind > 0)
            runs.push_back({ kind == 1 ? "heavy" : "mild", 0.08, 0.08, 100 });
        model.observe("service", { worker.tail(runs), backfillSharesOf(runs) });
    }
    CHECK(model.pressure("heavy", "service") > 2.5);
    CHECK(model.pressure("mild", "service") < 1.2);
}

TEST_CASE("the effect of one of several images beside a service isn't attributed to the others")
{
    TailLatencyModel model;
    SimulatedWorker worker;
    worker.factors = { { "a", 0 }, { "b", 0 }, { "c", 0 }, { "heavy", 2.5 } };
    std::mt19937_64 random(11);
    constexpr int reports = 600;
    for (int report = 0; report < reports; ++report) {
        worker.load = 0.42 * (1 + 0.5 * std::sin(report * 0.31));
        std::vector<PacedRun> runs;
        for (const char* const image : { "a", "b", "c", "heavy" }) {
            if (random() % 2 == 0)
                runs.push_back({ image, 0.11, 0.11, 100 });
        }
        model.observe("service", { worker.tail(runs), backfillSharesOf(runs) });
    }
    CHECK(model.pressure("heavy", "service") > 1.2);
    for (const char* const harmless : { "a", "b", "c" }) {
        CAPTURE(harmless);
        CHECK(model.pressure(harmless, "service") == 0);
    }
}

TEST_CASE("with a varying load and a disturbing image, pacing nearly always keeps the service under its target")
{
    TailLatencyModel model;
    SimulatedWorker worker;
    std::vector<PacedRun> runs { { "heavy", 0.12, 0, 100 }, { "heavy", 0.12, 0, 100 }, { "mild", 0.1, 0, 100 } };
    int over = 0;
    double mildWork = 0;
    constexpr int reports = 240;
    for (int report = 0; report < reports; ++report) {
        worker.load = 0.42 * (1 + 0.5 * std::sin(report * 0.31));
        for (PacedRun& run : runs)
            run.used = run.demand * run.pace / 100;
        const double tail = worker.tail(runs);
        if (report > 20)
            over += tail > 1 ? 1 : 0;
        const std::vector<PacedService> services { { "service", tail } };
        model.observe("service", { tail, backfillSharesOf(runs) });
        const auto paces = paceBackfill(model, { services, runs, backfillSharesOf(runs) }, 0s);
        for (size_t index = 0; index < runs.size(); ++index)
            runs[index].pace = paces[index];
        mildWork += runs[2].pace / 100.0;
    }
    CHECK(over <= reports / 20);
    CHECK(mildWork > 0.8 * reports);
}

TEST_CASE("all backfill is slowed down and then paused when a service stays over its target")
{
    TailLatencyModel model;
    const std::vector<PacedService> services { { "service", 3.0 } };
    const std::vector<PacedRun> runs { { "unknown", 0.01, 0.01, 80 } };
    CHECK(paceBackfill(model, { services, runs, backfillSharesOf(runs) }, 1s).front() <= 40);
    CHECK(paceBackfill(model, { services, runs, backfillSharesOf(runs) }, 2s).front() == 0);
}

TEST_CASE("the pace of a new run depends on the pressure it would add, not on its size")
{
    TailLatencyModel model;
    for (int report = 0; report < 40; ++report) {
        model.observe("service", { 0.38, { { "mild", 0.1 } } });
        model.observe("service", { 2.0, { { "heavy", 0.1 } } });
    }
    const std::vector<PacedService> services { { "service", 0.38 } };
    CHECK(paceForNewRun(model, { services, {}, {} }, "mild", 0.2) > 0.9);
    CHECK(paceForNewRun(model, { services, {}, {} }, "heavy", 0.2) < 0.5);
    CHECK(paceForNewRun(model, {}, "heavy", 0.2) == 1);
}

TEST_CASE("beside a service near its target no run starts that may disturb it, and no pace rises")
{
    const TailLatencyModel model;
    const std::vector<PacedService> services { { "service", 0.97 } };
    const std::vector<PacedRun> runs { { "unknown", 0.01, 0.01, 30 } };
    CHECK(paceForNewRun(model, { services, {}, {} }, "unknown", 0.01) == 0);
    CHECK(paceBackfill(model, { services, runs, backfillSharesOf(runs) }, 100ms).front() <= 30);
}
