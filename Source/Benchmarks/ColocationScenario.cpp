// Scenario: previews share workers with batch jobs, at the sizes of the sites AGCQ and Trinacria. Compared with each
// kind of work alone and with least-loaded placement.
#include "ColocationSimulation.h"
#include "Verdict.h"

#include <cstdio>

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
    /// Bounds on ratios: p99 of previews to least loaded; finished jobs to least loaded and to jobs alone.
    double p99Bound;
    double finishedBound;
    double aloneBound;
};

constexpr Site agcq { "AGCQ", 65, { 8, 16000, 60000, 0 }, 0.8, 0.95, 0.85 };
constexpr Site trinacria { "Trinacria", 50, { 8, 64000, 250000, 0 }, 0.8, 0.95, 0.85 };

void measure(Verdict& verdict, const Site& site)
{
    std::vector<double> p99, p99Alone, p99Least, p99Relief;
    std::vector<double> finished, finishedAlone, finishedLeast, finishedRelief;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const Setup setup { .seed = seed, .workers = site.workers, .capacity = site.capacity };
        const auto run = [&](auto change) {
            Setup changed = setup;
            change(changed);
            return ColocationSimulation(changed).run();
        };
        const Figures ours = run([](Setup&) {});
        const Figures relief = run([](Setup& s) { s.relief = Relief::Planner; });
        const Figures least = run([](Setup& s) { s.useInterference = false; });
        p99.push_back(ours.previewP99);
        p99Relief.push_back(relief.previewP99);
        p99Least.push_back(least.previewP99);
        p99Alone.push_back(run([](Setup& s) { s.batch = false; }).previewP99);
        finished.push_back(ours.batchFinished);
        finishedRelief.push_back(relief.batchFinished);
        finishedLeast.push_back(least.batchFinished);
        finishedAlone.push_back(run([](Setup& s) { s.previews = false; }).batchFinished);
    }
    const std::string name(site.name);
    Verdict::note(name + ": previews alone, p99 s", p99Alone);
    Verdict::note(name + ": least loaded, p99 s", p99Least);
    Verdict::note(name + ": learned placement, p99 s", p99);
    Verdict::note(name + ": with relief besides, p99 s", p99Relief);
    Verdict::note(name + ": p99 with relief / alone", ratios(p99Relief, p99Alone));
    Verdict::note(name + ": jobs finished with relief / least loaded", ratios(finishedRelief, finishedLeast));
    verdict.atMost(name + ": p99 of previews / least loaded", ratios(p99, p99Least), site.p99Bound);
    verdict.atMost(name + ": with relief, p99 / least loaded", ratios(p99Relief, p99Least), site.p99Bound);
    verdict.atLeast(name + ": jobs finished / least loaded", ratios(finished, finishedLeast), site.finishedBound);
    verdict.atLeast(name + ": jobs finished / alone", ratios(finished, finishedAlone), site.aloneBound);
}

} // namespace

int main()
{
    Verdict verdict("colocation: decisions under a virtual clock, previews 15% and jobs 50% of the slots, 120 s");
    measure(verdict, agcq);
    measure(verdict, trinacria);
    return verdict.exitCode();
}
