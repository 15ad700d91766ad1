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
#include <vector>

namespace Policy {

/// Plans for all workers of one owner. One step a worker at a time: the next waits until a sample taken after the last
/// step shows that it did not help.
/// Invariant: stops no more tasks a minute than the settings allow, and none that isn't evictable or is younger than
/// its minimum run time, except when memory is full.
class EvictionPlanner {
public:
    struct Settings {
        /// Latency-critical speed below which a worker is under pressure, and above which it is at ease.
        int64_t pressurePerMille = 700;
        int64_t easePerMille = 850;
        /// Memory in use, as a share of capacity: under pressure, and so full that something must go at once.
        uint32_t memoryPressurePercent = 92;
        uint32_t memoryFullPercent = 98;
        /// Fresh samples in a row that must show pressure before the first step.
        uint32_t samplesToAct = 2;
        /// Between two steps on one worker, on its own clock, beside the wait for a fresh sample.
        std::chrono::milliseconds coolDown { 2000 };
        /// How long ease must last before one task is unthrottled.
        std::chrono::milliseconds easeBeforeUnthrottle { 10000 };
        /// How long a checkpoint may take before the task is stopped without a newer one.
        std::chrono::milliseconds checkpointTime { 5000 };
        /// Throttled tasks are only stopped if the speed stays below this: throttling does most of the good.
        int64_t stopBelowPerMille = 450;
        double stopsPerMinute = 6;
        double burst = 3;
    };
    using Lookup = std::function<EvictionCandidate(const Scheduler::TaskReport&)>;

    explicit EvictionPlanner(Settings);

    /// The steps to take after this report. `lookup` is asked for running batch tasks only.
    std::vector<EvictionAction> plan(const Scheduler::WorkerReport&, const Lookup&, Common::MonoTime now);
    void forget(const Common::WorkerId&);
    uint64_t stops() const { return m_stops; }

private:
    struct Checkpointing {
        Common::TaskId task;
        std::string previous;
        Common::WorkerTime since;
    };
    struct TaskProgress {
        std::string checkpoint;
        Common::WorkerTime checkpointedAt;
        Common::WorkerTime firstSeen;
    };
    struct Worker {
        Common::WorkerBootId boot;
        Common::WorkerTime lastStep;
        Common::WorkerTime lastSample;
        uint32_t pressedSamples = 0;
        std::optional<Common::WorkerTime> easySince;
        std::optional<Checkpointing> checkpointing;
        std::unordered_map<Common::TaskId, TaskProgress> tasks;
    };
    struct Situation;

    void track(Worker&, const Scheduler::WorkerReport&) const;
    std::optional<EvictionAction> nextStep(
        Worker&, const Scheduler::WorkerReport&, const Situation&, const Lookup&, Common::MonoTime now);
    std::optional<EvictionAction> finishCheckpoint(Worker&, const Scheduler::WorkerReport&, Common::MonoTime now);
    std::optional<EvictionAction> throttleWorst(const Scheduler::WorkerReport&, const Lookup&) const;
    std::optional<EvictionAction> beginEviction(
        Worker&, const Scheduler::WorkerReport&, const Lookup&, bool atOnce, Common::MonoTime now);
    bool takeStop(Common::MonoTime now);

    Settings m_settings;
    std::unordered_map<Common::WorkerId, Worker> m_workers;
    double m_tokens;
    Common::MonoTime m_refilledAt;
    bool m_started = false;
    uint64_t m_stops = 0;
};

} // namespace Policy
