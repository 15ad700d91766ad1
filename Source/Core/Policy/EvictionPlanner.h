// Relieves workers whose latency-critical work is slowed down or whose memory runs out: throttle, then checkpoint, then
// stop.
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

/// Plans for all workers of one owner. One step a worker at a time: the next waits until a sample taken after the last
/// step shows that it did not help.
/// Invariant: stops at most `stopsPerMinute` tasks a minute and `burst` more, none that isn't evictable, and none that
/// is younger than its minimum run time except when memory is full.
class EvictionPlanner {
public:
    struct Settings {
        /// Latency-critical speed below which a worker is under pressure, and above which it is at ease.
        int64_t pressurePerMille = 500;
        int64_t recoveredPerMille = 700;
        /// Memory in use, as a share of capacity: under pressure, and so full that something must go at once.
        uint32_t memoryPressurePercent = 92;
        uint32_t memoryFullPercent = 98;
        /// Fresh samples in a row that must show pressure before the first step.
        uint32_t samplesToAct = 3;
        /// Between two steps on one worker, on its own clock, beside the wait for a fresh sample.
        std::chrono::milliseconds coolDown { 2000 };
        /// How long ease must last before one task is unthrottled.
        std::chrono::milliseconds recoveryBeforeUnthrottle { 10000 };
        /// How long a checkpoint may take before the task is stopped without a newer one.
        std::chrono::milliseconds checkpointTime { 5000 };
        /// Throttled tasks are only stopped if the speed stays below this: throttling does most of the good.
        int64_t stopBelowPerMille = 300;
        double stopsPerMinute = 6;
        double burst = 3;
    };
    using Lookup = std::function<EvictionCandidate(const Scheduler::TaskReport&)>;

    explicit EvictionPlanner(Settings);

    /// The step to take after this report, if any. `lookup` is asked for running batch tasks only. `measuredSpeed`:
    /// what the requests that finished since the report before were slowed down to, where that is known; it goes before
    /// the samples, which miss short requests.
    std::optional<EvictionAction> plan(const Scheduler::WorkerReport&, const Lookup&, Common::MonotonicTime now,
        std::optional<int64_t> measuredSpeed = std::nullopt);
    void forget(const Common::WorkerId&);
    uint64_t stops() const { return m_stops; }

private:
    /// A task that was told to write a checkpoint before it is stopped.
    struct Checkpointing {
        Common::TaskId task;
        std::string previous;
        Common::WorkerTime since;
    };
    struct TaskProgress {
        std::string checkpoint;
        /// When it started or wrote its last checkpoint, as far as seen.
        Common::WorkerTime safeSince;
    };
    struct Worker {
        Common::WorkerBootId boot;
        Common::WorkerTime lastStep;
        Common::WorkerTime lastSample;
        uint32_t pressedSamples = 0;
        std::optional<Common::WorkerTime> easySince;
        /// Multiplies recoveryBeforeUnthrottle; grows when pressure comes back soon after an unthrottling.
        int easeFactor = 1;
        Common::WorkerTime unthrottledAt;
        std::optional<Checkpointing> checkpointing;
        std::unordered_map<Common::TaskId, TaskProgress> tasks;
    };
    /// What one report shows.
    struct Situation {
        /// Mean speed of the latency-critical tasks; nothing when none ran.
        std::optional<int64_t> speedPerMille;
        Common::WorkerTime newestSample;
        int64_t memoryPercent = 0;
    };
    /// One report with what belongs to it.
    struct Round {
        const Scheduler::WorkerReport& report;
        const Lookup& lookup;
        Situation situation;
        Common::MonotonicTime now;
    };

    static Situation situationOf(const Scheduler::WorkerReport&);
    static void track(Worker&, const Scheduler::WorkerReport&);
    void judge(Worker&, const Round&) const;
    bool hasRecovered(const Situation&) const;
    std::optional<EvictionAction> nextStep(Worker&, const Round&);
    std::optional<EvictionAction> finishCheckpoint(Worker&, const Round&);
    std::optional<EvictionAction> relieveMemory(Worker&, const Round&);
    std::optional<EvictionAction> relieveLatency(Worker&, const Round&);
    std::optional<EvictionAction> unthrottle(Worker&, const Round&) const;
    const Scheduler::TaskReport* mostHarmful(const Round&) const;
    /// The evictable task whose stop loses the least, among those at least `minimumHarm` harmful.
    const Scheduler::TaskReport* leastLost(const Worker&, const Round&, double minimumHarm, bool anyAge) const;
    EvictionAction beginCheckpoint(Worker&, const Round&, const Scheduler::TaskReport&) const;
    bool mayStop(Common::MonotonicTime now);
    EvictionAction stop(Worker&, const Round&, const Common::TaskId&);

    Settings m_settings;
    std::unordered_map<Common::WorkerId, Worker> m_workers;
    /// Stops that may be made now.
    double m_tokens;
    std::optional<Common::MonotonicTime> m_refilledAt;
    uint64_t m_stops = 0;
};

} // namespace Policy
