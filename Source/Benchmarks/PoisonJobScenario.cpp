// Scenario: a fifth of the jobs fail on every worker. Baseline: five failures in a row eject a worker for 30 seconds.
#include "HealthSimulation.h"
#include "Verdict.h"

using Benchmarks::HealthSimulation;
using Benchmarks::Verdict;
using Rule = HealthSimulation::Rule;

int main()
{
    Verdict verdict("poison-job: decisions under a virtual clock, 50 workers x 8 slots, 180 s");
    constexpr uint32_t poisonPercent = 20;
    std::vector<double> finished;
    std::vector<double> ejected;
    std::vector<double> baselineEjected;
    std::vector<double> attempts;
    std::vector<double> wastedWithBadWorkers;
    std::vector<double> ejectedWithBadWorkers;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const auto ours = HealthSimulation({ .seed = seed, .poisonPercent = poisonPercent }).run();
        const auto plain
            = HealthSimulation({ .seed = seed, .rule = Rule::FailuresInARow, .poisonPercent = poisonPercent }).run();
        const auto mixed = HealthSimulation({ .seed = seed, .badWorkers = 3, .poisonPercent = poisonPercent }).run();
        finished.push_back(ours.goodFinished / ours.goodJobs);
        ejected.push_back(ours.goodWorkerSecondsEjected);
        baselineEjected.push_back(plain.goodWorkerSecondsEjected);
        attempts.push_back(ours.poisonAttempts / ours.poisonJobs);
        wastedWithBadWorkers.push_back(mixed.startsOnBad / mixed.starts);
        ejectedWithBadWorkers.push_back(mixed.goodWorkerSecondsEjected);
    }
    Verdict::note("baseline: good workers ejected, worker-seconds", baselineEjected);
    verdict.atLeast("good jobs finished / good jobs", finished, 0.999);
    verdict.atMost("good workers ejected, worker-seconds", ejected, 90);
    verdict.atMost("ejected, against the baseline", Benchmarks::ratios(ejected, baselineEjected), 0.1);
    verdict.atMost("attempts at a poison job", attempts, 3);
    verdict.atMost("with 3 bad workers besides: share of starts wasted there", wastedWithBadWorkers, 0.02);
    verdict.atMost("with 3 bad workers besides: good worker-seconds ejected", ejectedWithBadWorkers, 90);
    return verdict.exitCode();
}
