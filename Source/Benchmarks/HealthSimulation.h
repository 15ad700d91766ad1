// Simulates jobs on workers where some workers fail every job, or some jobs fail on every worker, with scheduling
// decisions under a virtual clock. Used by the bad-worker and poison-job scenarios.
#pragma once

#include "Common/Ids.h"
#include "Fakes/VirtualRuntime.h"
#include "Policy/InterferenceModel.h"
#include "Policy/Placement.h"
#include "Policy/WorkerHealth.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Benchmarks {

class HealthSimulation {
public:
    enum class Rule {
        /// Outcomes are ignored.
        None,
        /// Five failures in a row eject a worker for half a minute.
        FailuresInARow,
        Health,
    };
    struct Setup {
        uint64_t seed = 1;
        Rule rule = Rule::Health;
        size_t workers = 50;
        size_t badWorkers = 0;
        uint32_t poisonPercent = 0;
        /// Time at which bad workers become good; zero means never.
        Common::Duration recoveryAt {};
    };
    struct Figures {
        double goodJobs = 0;
        double goodFinished = 0;
        double goodGivenUp = 0;
        double startsOnBad = 0;
        double starts = 0;
        double poisonJobs = 0;
        double poisonAttempts = 0;
        /// Seconds for which good workers were ejected, summed over the workers.
        double goodWorkerSecondsEjected = 0;
        /// Largest number of workers ejected at the same time.
        double mostEjected = 0;
        /// Starts per initially bad worker in the last third of the run, relative to the average of all workers.
        double lateShareOfRecovered = 0;
    };

    explicit HealthSimulation(Setup);
    Figures run();

private:
    struct Job {
        Common::JobId id;
        bool poison = false;
        uint32_t attempts = 0;
        std::vector<Common::WorkerId> failedOn;
    };

    double seconds() const;
    Common::Duration drawDuration(double meanSeconds);
    bool isBad(const Common::WorkerId&) const;
    void arrive();
    /// Starts the job, or queues it and returns false when no worker has free capacity.
    bool place(Job, bool fromQueue);
    void placeWaiting();
    void onAttemptEnd(const Job&, const Common::WorkerId&, const Common::TaskId&, bool ok);
    void applyRule(const Common::WorkerId&, const Job&, bool ok);
    void recordEjections();

    Setup m_setup;
    Fakes::VirtualRuntime m_runtime;
    Policy::InterferenceModel m_interference;
    Policy::WorkerHealth m_health;
    Policy::Placement m_placement;
    std::deque<Job> m_waiting;
    std::map<Common::WorkerId, int> m_failuresInARow;
    std::map<Common::WorkerId, bool> m_bad;
    Figures m_figures;
    double m_lateOnRecovered = 0;
    double m_late = 0;
    uint64_t m_lastJob = 0;
};

} // namespace Benchmarks
