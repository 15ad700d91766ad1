// The model learns which images disturb each other, and backfill is paced so that the services beside it meet their
// latency targets.
#include "Policy/TailLatencyModel.h"
#include "Policy/BackfillPace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

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

/// The pace of a new run, computed service by service from the model's pressures.
double expectedPace(
    const TailLatencyModel& model, const Colocation& colocation, const std::string& image, double demand)
{
    double pace = 1;
    for (const PacedService& service : colocation.services) {
        const double load
            = std::max(ownLoad(model, service, colocation.recentBackfill), model.usualLoad(service.image));
        double present = 0;
        for (const PacedRun& run : colocation.runs)
            present += model.pressure(run.image, service.image) * run.demand * run.pace / 100;
        const double added = model.pressure(image, service.image) * demand;
        if (added > 0 && service.tailRatio > overTargetTailRatio)
            pace = 0;
        else if (added > 0)
            pace = std::min(pace, std::max(0.0, 0.85 * (maximumServiceUtilization - load) - present) / added);
    }
    return pace;
}

/// The pressure of a pair, computed directly from the model's own estimates and all adopted ones.
class ReferencePressure {
public:
    void adopt(const std::string& source, const TailLatencyModel::PressureEstimate& estimate)
    {
        if (estimate.variance > 0)
            m_adopted[{ estimate.backfill, estimate.service }][source] = estimate;
    }

    double pressure(const TailLatencyModel& model, const std::string& backfill, const std::string& service) const
    {
        constexpr double priorPressure = 0.8;
        constexpr double priorVariance = 4;
        std::vector<TailLatencyModel::PressureEstimate> estimates;
        for (const auto& estimate : model.pressureEstimates(std::numeric_limits<size_t>::max())) {
            if (estimate.backfill == backfill && estimate.service == service)
                estimates.push_back(estimate);
        }
        if (const auto found = m_adopted.find({ backfill, service }); found != m_adopted.end()) {
            for (const auto& [source, estimate] : found->second)
                estimates.push_back(estimate);
        }
        double precision = 1 / priorVariance;
        double weighted = priorPressure / priorVariance;
        for (const auto& estimate : estimates) {
            const double gained = 1 / estimate.variance - 1 / priorVariance;
            if (gained <= 0)
                continue;
            precision += gained;
            weighted += estimate.pressure / estimate.variance - priorPressure / priorVariance;
        }
        const double value = std::clamp(weighted / precision, 0.0, 20.0);
        return value < 0.6 ? 0 : value + 0.4 * std::sqrt(1 / precision);
    }

private:
    /// By backfill and service, then by source.
    std::map<std::pair<std::string, std::string>, std::map<std::string, TailLatencyModel::PressureEstimate>> m_adopted;
};

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

TEST_CASE("the pace of a new run is limited by each service on its own, whichever images are asked about with it")
{
    const std::vector<std::string> images { "harmless", "mild", "heavy", "unknown" };
    TailLatencyModel model;
    for (const char* const service : { "s", "t", "u" })
        model.adopt("cell", { { "harmless", service, 0, 0.01 }, { "mild", service, 1, 0.01 } });
    model.adopt("cell", { { "heavy", "s", 4, 0.01 }, { "heavy", "t", 0, 0.01 }, { "heavy", "u", 2, 0.01 } });
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr double demand = 0.02;
    int paused = 0;
    int slowed = 0;
    int unlimited = 0;
    for (int round = 0; round < 500; ++round) {
        Colocation colocation { { { "s", uniform(random) }, { "t", uniform(random) }, { "u", uniform(random) } }, {},
            { { "mild", 0.1 * uniform(random) } } };
        for (const std::string& image : images)
            colocation.runs.push_back({ image, demand * uniform(random), 0, static_cast<uint32_t>(random() % 101) });
        const std::vector<double> paces = pacesForNewRuns(model, colocation, images, demand);
        REQUIRE(paces.size() == images.size());
        for (size_t index = 0; index < images.size(); ++index) {
            CAPTURE(images[index]);
            REQUIRE(paces[index] == paceForNewRun(model, colocation, images[index], demand));
            REQUIRE(paces[index] == doctest::Approx(expectedPace(model, colocation, images[index], demand)));
        }
        CHECK(paces.front() == 1);
        const double heavy = paces[2];
        ++(heavy == 0 ? paused : heavy < 1 ? slowed : unlimited);
    }
    CHECK(paused > 10);
    CHECK(slowed > 10);
    CHECK(unlimited > 10);
    CHECK(pacesForNewRuns(model, {}, {}, demand).empty());
}

TEST_CASE("pressures combine the prior, own estimates and the last adopted ones of each source after any sequence")
{
    const std::vector<std::string> backfills { "a", "b", "c", "d", "e" };
    const std::vector<std::string> services { "s", "t", "u", "v" };
    std::mt19937_64 random(17);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto pick = [&](const std::vector<std::string>& names) { return names[random() % names.size()]; };
    const auto estimate = [&]() -> TailLatencyModel::PressureEstimate {
        // Some variances are invalid and some above that of the prior.
        return { pick(backfills), pick(services), uniform(random) * 6 - 1, uniform(random) * 6 - 0.5 };
    };

    TailLatencyModel model;
    ReferencePressure reference;
    std::set<std::string> known;
    for (int step = 0; step < 4000; ++step) {
        switch (random() % 8) {
        case 0: {
            const auto inherited = estimate();
            model.inherit({ inherited });
            known.insert(inherited.backfill);
            break;
        }
        case 1:
        case 2: {
            const std::string source = "cell-" + std::to_string(random() % 18);
            const std::vector<TailLatencyModel::PressureEstimate> adopted { estimate(), estimate() };
            model.adopt(source, adopted);
            for (const auto& one : adopted) {
                reference.adopt(source, one);
                if (one.variance > 0)
                    known.insert(one.backfill);
            }
            break;
        }
        default: {
            TailLatencyModel::Sample sample { uniform(random) * 1.5 - 0.1, {} };
            const std::string first = pick(backfills);
            const std::string second = pick(backfills);
            sample.backfillShares = { { first, uniform(random) * 0.2 }, { second, uniform(random) * 0.2 } };
            model.observe(pick(services), sample);
            if (sample.tailRatio > 0)
                known.insert({ first, second });
        }
        }
        CAPTURE(step);
        const std::string backfill = pick(backfills);
        const std::string service = pick(services);
        const double expected = reference.pressure(model, backfill, service);
        REQUIRE(model.pressure(backfill, service) == doctest::Approx(expected).epsilon(1e-9));
        REQUIRE(model.pressure({ { backfill, 0.5 } }, service) == doctest::Approx(expected / 2).epsilon(1e-9));
        REQUIRE(model.backfillImages() == known);
    }
    CHECK(model.pressure("unknown", "s") == doctest::Approx(reference.pressure(model, "unknown", "s")));
    CHECK(model.pressure("a", "unknown") == doctest::Approx(reference.pressure(model, "a", "unknown")));
}

TEST_CASE("a service known only from other models has no estimates of this model")
{
    TailLatencyModel model;
    model.adopt("cell", { { "backfill", "service", 5, 0.01 } });
    CHECK(model.pressure("backfill", "service") > 4);
    CHECK(model.pressureEstimates(10).empty());
    CHECK(model.summary().empty());
    CHECK(model.usualLoad("service") == model.usualLoad("unknown"));
}
