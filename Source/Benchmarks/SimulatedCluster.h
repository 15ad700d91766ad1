// Workers whose tasks slow each other down, with reports that lag, under a virtual clock.
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

/// A fake at the worker's interface, for decisions only. A task's speed is 1 / (1 + sum of what each neighbour's kind
/// does to its kind), and a quarter of that while it is throttled.
class SimulatedCluster {
public:
    struct Kind {
        std::string name;
        /// Slowdown that this kind suffers from one unthrottled task of each kind, by kind.
        std::vector<double> suffers;
        /// Waves: the kind harms others only in the first part of each period; zero: always.
        double waveSeconds = 0;
        double noisySeconds = 0;
    };
    struct Task {
        Common::TaskId id;
        size_t kind = 0;
        Scheduler::TaskKind taskKind = Scheduler::TaskKind::Batch;
        Common::Resources declared;
        Common::Resources used;
        /// Seconds of work alone.
        double work = 0;
        /// Called when all work is done.
        std::function<void(const Task&)> onFinished;

        double done = 0;
        bool throttled = false;
        std::string checkpoint;
        double checkpointed = 0;
        /// Work of a wave's phase is drawn once a task.
        double phase = 0;
        double speed = 1;
        double sampledSpeed = 1;
        int64_t sampledAt = 0;
    };

    SimulatedCluster(Fakes::VirtualRuntime&, std::vector<Kind>, size_t workers, Common::Resources capacity);

    void start(size_t worker, Task);
    /// Removes the task; the work that its last checkpoint doesn't hold is lost.
    Task stop(size_t worker, const Common::TaskId&);
    void setThrottled(size_t worker, const Common::TaskId&, bool);
    /// Takes a second.
    void checkpoint(size_t worker, const Common::TaskId&);
    bool has(size_t worker, const Common::TaskId&) const;

    /// What the worker would report now; usage and speed are those of the last sample.
    Scheduler::WorkerReport report(size_t worker) const;
    /// Takes the usage samples of all workers; call it at the sampling interval.
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
    void settle(size_t worker);
    void finish(size_t worker);
    double seconds() const;
    bool harms(const Task&) const;

    Fakes::VirtualRuntime& m_runtime;
    std::vector<Kind> m_kinds;
    Common::Resources m_capacity;
    std::vector<Worker> m_workers;
    uint64_t m_checkpoints = 0;
};

} // namespace Benchmarks
