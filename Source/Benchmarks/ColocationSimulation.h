// Simulates previews and batch jobs on the same workers, with scheduling decisions under a virtual clock. Used by the
// colocation and evictions scenarios.
#pragma once

#include "Fakes/VirtualRuntime.h"
#include "Policy/EvictionPlanner.h"
#include "Policy/InterferenceModel.h"
#include "Policy/Placement.h"
#include "Policy/WorkerHealth.h"
#include "SimulatedCluster.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Benchmarks {

class ColocationSimulation {
public:
    enum class Relief {
        None,
        /// The planner under test.
        Planner,
        /// Baseline: stops the most harmful task as soon as a report shows slow requests.
        StopFirst,
    };
    struct Setup {
        uint64_t seed = 1;
        size_t workers = 65;
        Common::Resources capacity;
        bool previews = true;
        bool batch = true;
        /// False selects least-loaded placement, which ignores learned interference between kinds of work.
        bool useInterference = true;
        Relief relief = Relief::None;
        /// Noisy jobs interfere only for the first part of each period.
        bool waves = false;
    };
    struct Figures {
        double previewP99 = 0;
        double previewMedian = 0;
        double previews = 0;
        double batchFinished = 0;
        /// Seconds of work lost by stops, over all jobs.
        double workLost = 0;
        double stops = 0;
    };

    explicit ColocationSimulation(const Setup&);
    Figures run();

private:
    struct Job {
        size_t kind = 0;
        double work = 0;
        double done = 0;
        uint32_t attempts = 0;
        uint64_t number = 0;
        double phase = 0;
    };

    bool isMeasuring() const;
    double exponential(double mean);
    void arrivePreview();
    void startPreview(Common::MonotonicTime since, uint64_t number, double work);
    void arriveJob();
    bool startJob(Job);
    void startWaitingJobs();
    void reportAll();
    void applyRelief(size_t worker, const Scheduler::WorkerReport&);
    void apply(size_t worker, const Policy::EvictionAction&);
    void stopJob(size_t worker, const Common::TaskId&);

    Setup m_setup;
    Fakes::VirtualRuntime m_runtime;
    SimulatedCluster m_cluster;
    Policy::InterferenceModel m_interference;
    Policy::WorkerHealth m_health;
    Policy::Placement m_placement;
    Policy::EvictionPlanner m_planner { {} };
    std::map<Common::WorkerId, size_t> m_index;
    std::map<Common::TaskId, Job> m_running;
    std::map<Common::TaskId, Common::MonotonicTime> m_startedAt;
    std::deque<Job> m_waiting;
    std::vector<double> m_previewTimes;
    Figures m_figures;
    uint64_t m_lastNumber = 0;
};

} // namespace Benchmarks
