// Learns from delayed worker reports how much each class of work slows down each other class on the same worker.
// Placement uses it to keep classes apart that disturb each other.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Policy/WorkClass.h"
#include "Scheduler/WorkerReport.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Slowdowns are natural logarithms of (speed alone / speed beside others): they add up over the neighbours, and zero
/// means none. Samples arrive late, so each is attributed to the tasks that ran on the worker when it was taken.
/// Invariant: memory is bounded by `maximumClasses` squared and by the history of each known worker.
class InterferenceModel {
public:
    struct Settings {
        /// Classes beyond this number share the last index.
        uint16_t maximumClasses = 256;
        /// Share of the prediction error that one sample corrects.
        double learningRate = 0.2;
        /// The same for one run time; smaller, because run times also vary by themselves.
        double runLearningRate = 0.02;
        /// Assumed for pairings never seen.
        double priorSlowdown = 0.02;
        /// Time without samples after which what was learned of a pairing has half its weight.
        Common::Duration halfLife = std::chrono::minutes(10);
        /// Reports remembered per worker.
        size_t historyLength = 16;
    };
    /// Compact index of a class; stable for the lifetime of the model.
    using ClassIndex = uint16_t;
    using ClassOf = std::function<ClassIndex(const Common::TaskId&)>;

    InterferenceModel();
    explicit InterferenceModel(Settings);

    ClassIndex indexOf(const WorkClass&);
    /// Learns from one report; `classOf` returns the class of each task in it. Samples seen before are ignored.
    void observe(const Scheduler::WorkerReport&, const ClassOf&, Common::MonotonicTime now);
    /// Learns from the run time of one task that ended, for work too short to appear in the delayed samples. Each class
    /// is assumed to have a usual run time when it runs alone. Returns the speed of this run in thousandths of that.
    int64_t observeRun(
        ClassIndex, const std::vector<ClassIndex>& neighbours, Common::Duration runTime, Common::MonotonicTime now);
    void forget(const Common::WorkerId&);

    /// How much a task of class `victim` is slowed down by one task of class `neighbour`.
    double slowdown(ClassIndex victim, ClassIndex neighbour, Common::MonotonicTime now) const;
    /// How much a task of class `added` would be slowed down beside `running`.
    double slowdownOf(ClassIndex added, const std::vector<ClassIndex>& running, Common::MonotonicTime now) const;
    /// Sum of the slowdowns that a task of class `added` would cause to `running`.
    double slowdownBy(ClassIndex added, const std::vector<ClassIndex>& running, Common::MonotonicTime now) const;
    uint64_t samples() const { return m_samples; }

private:
    struct Pairing {
        float slowdown = 0;
        bool seen = false;
        Common::MonotonicTime updatedAt;
    };
    struct RunningTask {
        Common::TaskId task;
        ClassIndex workClass = 0;
    };
    struct Snapshot {
        Common::WorkerTime clock;
        std::vector<RunningTask> running;
    };
    struct WorkerHistory {
        Common::WorkerBootId boot;
        /// Oldest first.
        std::deque<Snapshot> snapshots;
        /// Newest sample attributed for each running task.
        std::unordered_map<Common::TaskId, Common::WorkerTime> credited;
    };

    Pairing& pairing(ClassIndex victim, ClassIndex neighbour);
    const Pairing& pairing(ClassIndex victim, ClassIndex neighbour) const;
    void recordSnapshot(WorkerHistory&, const Scheduler::WorkerReport&, const ClassOf&) const;
    void correct(ClassIndex victim, ClassIndex neighbour, double by, Common::MonotonicTime now);
    void attributeSample(const Snapshot&, const Scheduler::TaskReport&, Common::MonotonicTime now);

    Settings m_settings;
    std::unordered_map<WorkClass, ClassIndex> m_classes;
    /// Indexed by victim, then neighbour; grows with the number of classes.
    std::vector<std::vector<Pairing>> m_pairings;
    std::unordered_map<Common::WorkerId, WorkerHistory> m_histories;
    /// Natural logarithm of the usual run time alone, in microseconds, by class; zero: unknown.
    std::vector<double> m_runTimes;
    uint64_t m_samples = 0;
};

} // namespace Policy
