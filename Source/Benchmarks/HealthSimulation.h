// Jobs on workers of which some fail everything, or of which some jobs fail everywhere; decisions under a virtual
// clock.
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
        /// Outcomes are not looked at.
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
        /// When bad workers become good; zero: never.
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
        /// Good workers ejected, by the second.
        double goodWorkerSecondsEjected = 0;
        /// The most workers ejected at once.
        double mostEjected = 0;
        /// Work sent in the last third to the workers that had been bad, against as many others.
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
    Common::Duration drawn(double meanSeconds);
    bool isBad(const Common::WorkerId&) const;
    void arrive();
    /// False: it waits for room.
    bool place(Job, bool fromQueue);
    void placeWaiting();
    void ended(const Job&, const Common::WorkerId&, const Common::TaskId&, bool ok);
    void judge(const Common::WorkerId&, const Job&, bool ok);
    void watch();

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
