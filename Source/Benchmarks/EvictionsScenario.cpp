// Scenario: jobs interfere with previews in waves. Measures the work lost per finished job under stepwise relief.
// Baseline: the most harmful task is stopped as soon as a report shows slow requests.
#include "ColocationSimulation.h"
#include "Verdict.h"

using Benchmarks::ColocationSimulation;
using Benchmarks::ratios;
using Benchmarks::Verdict;
using Setup = ColocationSimulation::Setup;
using Figures = ColocationSimulation::Figures;
using Relief = ColocationSimulation::Relief;

namespace {

struct Site {
    const char* name;
    size_t workers;
    Common::Resources capacity;
};

constexpr Site agcq { "AGCQ", 65, { 8, 16000, 60000, 0 } };
constexpr Site trinacria { "Trinacria", 50, { 8, 64000, 250000, 0 } };

void measure(Verdict& verdict, const Site& site)
{
    std::vector<double> lost, lostBaseline, stops, stopsBaseline, finished, p99, finishedNone, finishedBaseline;
    std::vector<double> p99None, p99Baseline;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const auto run = [&](Relief relief) {
            return ColocationSimulation(
                { .seed = seed, .workers = site.workers, .capacity = site.capacity, .relief = relief, .waves = true })
                .run();
        };
        const Figures steps = run(Relief::Planner);
        const Figures stopFirst = run(Relief::StopFirst);
        const Figures none = run(Relief::None);
        lost.push_back(steps.workLost / steps.batchFinished);
        lostBaseline.push_back(stopFirst.workLost / stopFirst.batchFinished);
        stops.push_back(steps.stops / steps.batchFinished);
        stopsBaseline.push_back(stopFirst.stops / stopFirst.batchFinished);
        finished.push_back(steps.batchFinished);
        finishedBaseline.push_back(stopFirst.batchFinished);
        finishedNone.push_back(none.batchFinished);
        p99.push_back(steps.previewP99);
        p99Baseline.push_back(stopFirst.previewP99);
        p99None.push_back(none.previewP99);
    }
    const std::string name(site.name);
    Verdict::note(name + ": baseline: work lost per job finished, s", lostBaseline);
    Verdict::note(name + ": baseline: stops per job finished", stopsBaseline);
    Verdict::note(name + ": work lost per job finished, s", lost);
    Verdict::note(name + ": stops per job finished", stops);
    Verdict::note(name + ": p99 of previews, s", p99);
    Verdict::note(name + ": p99 of previews / no relief", ratios(p99, p99None));
    Verdict::note(name + ": baseline: p99 of previews / no relief", ratios(p99Baseline, p99None));
    Verdict::note(name + ": baseline: jobs finished / no relief", ratios(finishedBaseline, finishedNone));
    verdict.atMost(name + ": work lost per job / baseline", ratios(lost, lostBaseline), 0.1);
    verdict.atLeast(name + ": jobs finished / baseline", ratios(finished, finishedBaseline), 1.0);
    verdict.atLeast(name + ": jobs finished / no relief", ratios(finished, finishedNone), 0.95);
    verdict.atMost(name + ": p99 of previews / baseline", ratios(p99, p99Baseline), 1.05);
}

} // namespace

int main()
{
    Verdict verdict("evictions: decisions under a virtual clock, waves of 12 s in 40 s, 120 s measured");
    measure(verdict, agcq);
    measure(verdict, trinacria);
    return verdict.exitCode();
}
