// Simulates workers whose tasks slow each other down, with sampled reports, under a virtual clock. Used by
// ColocationSimulation.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Fakes/VirtualRuntime.h"
#include "Scheduler/TaskKind.h"
#include "Scheduler/WorkerReport.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Benchmarks {

/// A fake of the worker interface, for scheduling decisions only. The speed of a task is 1 / (1 + the sum of the
/// slowdowns that its kind suffers from the other tasks of its worker), and a quarter of that while it is throttled.
class SimulatedCluster {
public:
    struct Kind {
        std::string name;
        /// Slowdown that this kind suffers from one unthrottled task of each kind, indexed by kind.
        std::vector<double> suffers;
        /// The kind slows others only in the first noisySeconds of each period of waveSeconds; zero means always.
        double waveSeconds = 0;
        double noisySeconds = 0;
    };
    struct Task {
        Common::TaskId id;
        size_t kind = 0;
        Scheduler::TaskKind taskKind = Scheduler::TaskKind::Batch;
        Common::Resources declared;
        Common::Resources used;
        /// Seconds of work when the task runs alone.
        double work = 0;
        /// Called when all work is done.
        std::function<void(const Task&)> onFinished;

        double done = 0;
        bool throttled = false;
        std::string checkpoint;
        double checkpointed = 0;
        /// Offset of the wave period in seconds, constant over all attempts of a task.
        double phase = 0;
        double speed = 1;
        double sampledSpeed = 1;
        int64_t sampledAt = 0;
    };

    SimulatedCluster(Fakes::VirtualRuntime&, std::vector<Kind>, size_t workers, Common::Resources capacity);

    void start(size_t worker, Task);
    /// Removes and returns the task; work done after its last checkpoint is lost.
    Task stop(size_t worker, const Common::TaskId&);
    void setThrottled(size_t worker, const Common::TaskId&, bool);
    /// The checkpoint is taken after one second.
    void checkpoint(size_t worker, const Common::TaskId&);
    bool has(size_t worker, const Common::TaskId&) const;

    /// Returns the current report of the worker; use and speed are those of the last sample.
    Scheduler::WorkerReport report(size_t worker) const;
    /// Samples the tasks of all workers. To be called at the sampling interval.
    void sample();
    size_t size() const { return m_workers.size(); }
    static Common::WorkerId idOf(size_t worker);
    const std::vector<Kind>& kinds() const { return m_kinds; }

private:
    struct Worker {
        std::map<Common::TaskId, Task> tasks;
        Common::MonotonicTime advancedTo;
        Scheduler::TimerId timer;
    };

    void advance(Worker&);
    void updateSpeeds(size_t worker);
    void finishDueTasks(size_t worker);
    double seconds() const;
    bool interferes(const Task&) const;

    Fakes::VirtualRuntime& m_runtime;
    std::vector<Kind> m_kinds;
    Common::Resources m_capacity;
    std::vector<Worker> m_workers;
    uint64_t m_checkpoints = 0;
};

} // namespace Benchmarks
