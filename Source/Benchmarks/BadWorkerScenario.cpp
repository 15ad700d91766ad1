// Scenario: three of fifty workers fail every task right after its start. Baseline: placement ignores outcomes.
#include "HealthSimulation.h"
#include "Verdict.h"

using Benchmarks::HealthSimulation;
using Benchmarks::Verdict;
using Rule = HealthSimulation::Rule;
using namespace std::chrono_literals;

int main()
{
    Verdict verdict("bad-worker: decisions under a virtual clock, 50 workers x 8 slots, 3 bad ones, 180 s");
    std::vector<double> wasted;
    std::vector<double> baselineWasted;
    std::vector<double> givenUp;
    std::vector<double> baselineGivenUp;
    std::vector<double> goodEjected;
    std::vector<double> mostEjectedShare;
    std::vector<double> recovered;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const auto ours = HealthSimulation({ .seed = seed, .badWorkers = 3 }).run();
        const auto none = HealthSimulation({ .seed = seed, .rule = Rule::None, .badWorkers = 3 }).run();
        const auto half = HealthSimulation({ .seed = seed, .badWorkers = 25 }).run();
        const auto back = HealthSimulation({ .seed = seed, .badWorkers = 3, .recoveryAt = 30s }).run();
        wasted.push_back(ours.startsOnBad / ours.starts);
        baselineWasted.push_back(none.startsOnBad / none.starts);
        givenUp.push_back(ours.goodGivenUp / ours.goodJobs);
        baselineGivenUp.push_back(none.goodGivenUp / none.goodJobs);
        goodEjected.push_back(ours.goodWorkerSecondsEjected);
        mostEjectedShare.push_back(half.mostEjected / 50);
        recovered.push_back(back.lateShareOfRecovered);
    }
    Verdict::note("baseline: share of starts wasted on bad workers", baselineWasted);
    Verdict::note("baseline: share of good jobs given up after 3 attempts", baselineGivenUp);
    verdict.atMost("share of starts wasted on bad workers", wasted, 0.01);
    verdict.atMost("wasted, against the baseline", Benchmarks::ratios(wasted, baselineWasted), 0.1);
    verdict.atMost("share of good jobs given up", givenUp, 0.0005);
    verdict.atMost("good workers ejected, worker-seconds", goodEjected, 0);
    verdict.atMost("half of the workers bad: most ejected at once, share", mostEjectedShare, 0.30);
    verdict.atLeast("recovered workers' work in the last third, against others", recovered, 0.8);
    return verdict.exitCode();
}
