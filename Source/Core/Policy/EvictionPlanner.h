// Plans how to relieve workers whose latency-critical work is slowed down or whose memory runs out: batch tasks are
// throttled, then checkpointed, then stopped.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Policy/EvictionAction.h"
#include "Policy/EvictionCandidate.h"
#include "Scheduler/WorkerReport.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Policy {

/// Plans for all workers of one owner. Each worker gets one step at a time: the next waits until a sample taken after
/// the last step shows that the pressure persists. Invariant: stops at most `stopsPerMinute` tasks a minute and `burst`
/// more, none that isn't evictable, and none that is younger than its minimum run time except when memory is full.
class EvictionPlanner {
public:
    struct Settings {
        /// Speed of latency-critical tasks, in thousandths of their speed alone, below which a worker is under
        /// pressure, and from which on it counts as recovered.
        int64_t pressurePerMille = 500;
        int64_t recoveredPerMille = 700;
        /// Memory in use, as a share of capacity, from which a worker is under pressure, and from which a task must be
        /// stopped at once.
        uint32_t memoryPressurePercent = 92;
        uint32_t memoryFullPercent = 98;
        /// Consecutive fresh samples that must show pressure before a step.
        uint32_t samplesToAct = 3;
        /// Shortest time between two steps on one worker, on the worker's clock, in addition to the wait for a fresh
        /// sample.
        std::chrono::milliseconds coolDown { 2000 };
        /// How long a worker must stay recovered before one task is unthrottled.
        std::chrono::milliseconds recoveryBeforeUnthrottle { 10000 };
        /// How long a checkpoint may take before the task is stopped without a newer one.
        std::chrono::milliseconds checkpointTime { 5000 };
        /// With all tasks throttled, one is stopped only if the speed stays below this: throttling brings most of the
        /// relief.
        int64_t stopBelowPerMille = 300;
        double stopsPerMinute = 6;
        double burst = 3;
    };
    using Lookup = std::function<EvictionCandidate(const Scheduler::TaskReport&)>;

    explicit EvictionPlanner(Settings);

    /// The step to take after this report, if any. `lookup` is called for running batch tasks only. `measuredSpeed` is
    /// the mean speed, in thousandths, of the requests that finished since the previous report, where known. It takes
    /// precedence over the samples, which miss short requests.
    std::optional<EvictionAction> plan(const Scheduler::WorkerReport&, const Lookup&, Common::MonotonicTime now,
        std::optional<int64_t> measuredSpeed = std::nullopt);
    void forget(const Common::WorkerId&);
    uint64_t stops() const { return m_stops; }

private:
    /// A task that was asked for a checkpoint before it is stopped.
    struct Checkpointing {
        Common::TaskId task;
        std::string previous;
        Common::WorkerTime since;
    };
    struct TaskProgress {
        std::string checkpoint;
        /// Clock of the report that first showed the task or its last checkpoint.
        Common::WorkerTime safeSince;
    };
    struct Worker {
        Common::WorkerBootId boot;
        Common::WorkerTime lastStep;
        Common::WorkerTime lastSample;
        uint32_t pressedSamples = 0;
        std::optional<Common::WorkerTime> recoveredSince;
        /// Multiplies recoveryBeforeUnthrottle; doubles when pressure returns soon after a task was unthrottled.
        int recoveryFactor = 1;
        Common::WorkerTime unthrottledAt;
        std::optional<Checkpointing> checkpointing;
        std::unordered_map<Common::TaskId, TaskProgress> tasks;
    };
    /// The state of a worker as one report shows it.
    struct WorkerLoad {
        /// Mean speed of the latency-critical tasks, in thousandths; nothing when none ran.
        std::optional<int64_t> speedPerMille;
        Common::WorkerTime newestSample;
        int64_t memoryPercent = 0;
    };
    /// The input of one planning step: a report and what was derived from it.
    struct Evaluation {
        const Scheduler::WorkerReport& report;
        const Lookup& lookup;
        WorkerLoad load;
        Common::MonotonicTime now;
    };

    static WorkerLoad loadFrom(const Scheduler::WorkerReport&);
    static void updateTasks(Worker&, const Scheduler::WorkerReport&);
    void updatePressure(Worker&, const Evaluation&) const;
    bool hasRecovered(const WorkerLoad&) const;
    std::optional<EvictionAction> nextStep(Worker&, const Evaluation&);
    std::optional<EvictionAction> finishCheckpoint(Worker&, const Evaluation&);
    std::optional<EvictionAction> relieveMemory(Worker&, const Evaluation&);
    std::optional<EvictionAction> relieveLatency(Worker&, const Evaluation&);
    std::optional<EvictionAction> unthrottle(Worker&, const Evaluation&) const;
    const Scheduler::TaskReport* mostHarmfulTask(const Evaluation&) const;
    /// The evictable task whose stop loses the least work, among those with at least `minimumHarm`. Tasks younger than
    /// their minimum run time are included only with `anyAge`.
    const Scheduler::TaskReport* cheapestTaskToStop(
        const Worker&, const Evaluation&, double minimumHarm, bool anyAge) const;
    EvictionAction beginCheckpoint(Worker&, const Evaluation&, const Scheduler::TaskReport&) const;
    bool mayStop(Common::MonotonicTime now);
    EvictionAction stop(Worker&, const Evaluation&, const Common::TaskId&);

    Settings m_settings;
    std::unordered_map<Common::WorkerId, Worker> m_workers;
    /// Tokens of the bucket that limits stops; each stop takes one.
    double m_tokens;
    std::optional<Common::MonotonicTime> m_refilledAt;
    uint64_t m_stops = 0;
};

} // namespace Policy
