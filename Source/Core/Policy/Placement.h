// Chooses the worker for a task and accounts for the resources that tasks hold on each worker.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Policy/FreeResourcesTree.h"
#include "Policy/InterferenceModel.h"
#include "Policy/PlacementRequest.h"
#include "Policy/UsageModel.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/WorkerReport.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Policy {

/// The workers that this daemon may use.
/// Invariant: nothing is committed to a worker unless its capacity holds, for each resource, the sum over its tasks of
/// the larger of declared, observed and expected use. Its tasks are those of the last report that run, and those
/// committed since that no report has shown yet; each counts once.
class Placement {
public:
    struct Settings {
        /// Workers compared for one decision.
        uint32_t candidates = 8;
        /// Share of all slots reserved for requests and urgent work.
        uint32_t urgentReservePercent = 5;
        /// Weights of the score: load, concentration of a class on one rack, and the predicted slowdown that a request
        /// or a batch task suffers and causes.
        double loadWeight = 1;
        double rackWeight = 0.3;
        double requestInterferenceWeight = 6;
        double batchInterferenceWeight = 2;
        /// How strongly batch tasks prefer workers that already disturb requests, so that quiet workers stay free for
        /// requests.
        double separationWeight = 1;
    };

    /// Both references must outlive this object. Reports and run times are passed to the interference model;
    /// WorkerHealth decides which workers admit tasks.
    Placement(Settings, InterferenceModel&, WorkerHealth&);

    /// Adds the worker or applies its next report. Reports of one worker must be passed in the order in which they were
    /// taken.
    void upsert(const Scheduler::WorkerReport&, bool leaving, Common::MonotonicTime now);
    void remove(const Common::WorkerId&);

    /// A worker with room for the task; nothing when there is none. Resources are reserved only by `commit`.
    std::optional<Common::WorkerId> choose(const PlacementRequest&, Common::MonotonicTime now, std::mt19937_64&);
    /// Reserves the task's resources on the worker. Returns false, and changes nothing, when the worker is unknown or
    /// the task doesn't fit. For a task that is already counted, returns whether it is counted on this worker.
    bool commit(const Common::WorkerId&, const Common::TaskId&, const PlacementRequest&, Common::MonotonicTime now);
    /// Frees the resources of a task that ended or didn't start. Unknown tasks are ignored.
    void release(const Common::TaskId&);
    /// Frees the resources of an answered request and learns from its run time how its neighbours slow it down.
    void finish(const Common::TaskId&, Common::Duration runTime, Common::MonotonicTime now);
    /// Mean speed, in thousandths of the speed alone, of the requests that finished between the last two reports;
    /// nothing when too few finished. Used by EvictionPlanner.
    std::optional<int64_t> requestSpeed(const Common::WorkerId&) const;
    /// Sum of the slowdowns that the task causes to the requests beside it, for EvictionCandidate; zero for an unknown
    /// task.
    double harmOf(const Common::TaskId&, Common::MonotonicTime now) const;
    /// Sets the class of a task adopted from an earlier owner, so that its usage and interference are learned.
    void classify(const Common::TaskId&, const WorkClass&);

    /// Whether any worker could hold these resources if it were empty.
    bool fitsAnywhere(const Common::Resources&) const;
    int64_t freeSlots() const { return m_totalSlots - m_usedSlots; }
    int64_t totalSlots() const { return m_totalSlots; }
    /// Resources counted as held on the worker, for checks and the timeline; nothing for an unknown worker.
    std::optional<Common::Resources> heldBy(const Common::WorkerId&) const;
    std::optional<Common::WorkerId> workerOf(const Common::TaskId&) const;
    size_t workerCount() const { return m_indexOf.size(); }

private:
    using ClassIndex = InterferenceModel::ClassIndex;
    struct HeldTask {
        Common::TaskId id;
        /// The larger of declared and expected use, for each resource.
        Common::Resources expected;
        /// The larger of `expected` and the observed use, for each resource.
        Common::Resources held;
        /// Whether a report has shown the task.
        bool reported = false;
        Scheduler::TaskKind kind = Scheduler::TaskKind::Batch;
        bool throttled = false;
    };
    struct Worker {
        Common::WorkerId id;
        Common::WorkerBootId boot;
        uint32_t rack = 0;
        bool leaving = false;
        Common::Resources capacity;
        /// Invariant: the sum over `tasks`.
        Common::Resources held;
        std::vector<HeldTask> tasks;
        /// Class of each task, in the order of `tasks`.
        std::vector<ClassIndex> classes;
        /// Sum and count of the speeds of requests that finished since the last report, and the mean before that
        /// report.
        int64_t speedSum = 0;
        int64_t speedCount = 0;
        std::optional<int64_t> lastSpeed;
    };
    /// A task removed from its worker's account while a new report is applied.
    struct DetachedTask {
        HeldTask task;
        ClassIndex workClass = 0;
    };
    struct Rack {
        int64_t usedSlots = 0;
        int64_t totalSlots = 0;
    };

    /// The input of one placement decision.
    struct Search {
        const PlacementRequest& request;
        Common::Resources wanted;
        ClassIndex workClass = 0;
        Common::MonotonicTime now;
    };

    size_t indexFor(const Common::WorkerId&);
    uint32_t rackNamed(const Common::RackId&);
    std::optional<size_t> positionOf(const Worker&, const Common::TaskId&) const;
    std::unordered_map<Common::TaskId, DetachedTask> detachTasks(Worker&);
    void mergeReport(
        Worker&, size_t index, const Scheduler::WorkerReport&, std::unordered_map<Common::TaskId, DetachedTask> before);
    void learn(const Worker&, const Scheduler::WorkerReport&, Common::MonotonicTime now);
    void addTask(Worker&, size_t index, HeldTask, ClassIndex);
    void removeTask(Worker&, size_t position);
    void addCapacity(const Worker&, int64_t sign);
    void countTask(const Worker&, const HeldTask&, ClassIndex, int64_t sign);
    int32_t tasksOnRack(ClassIndex, uint32_t rack) const;
    void updateTrees(const Worker&, size_t index);
    Common::Resources expectedUse(const PlacementRequest&, ClassIndex) const;
    bool reserveAllows(const PlacementRequest&, const Common::Resources& wanted) const;
    double score(const Worker&, const Search&) const;
    /// Mean slowdown that a task of the class causes to the request classes in `m_services`.
    double harmToServices(ClassIndex, Common::MonotonicTime now) const;
    double harmOn(const Worker&, Common::MonotonicTime now) const;
    void recordService(const PlacementRequest&, ClassIndex);
    std::optional<size_t> findBestWorker(const Search&, bool useAvoided, std::mt19937_64&) const;

    Settings m_settings;
    InterferenceModel& m_interference;
    WorkerHealth& m_health;
    UsageModel m_usage;
    std::vector<Worker> m_workers;
    std::vector<size_t> m_unused;
    std::unordered_map<Common::WorkerId, size_t> m_indexOf;
    std::unordered_map<Common::TaskId, size_t> m_workerOfTask;
    /// Classes of all requests for which a worker was chosen.
    std::vector<ClassIndex> m_services;
    /// Cached harm by class, recomputed when it is too old.
    struct Harm {
        double value = 0;
        std::optional<Common::MonotonicTime> computedAt;
    };
    mutable std::vector<Harm> m_harm;
    FreeResourcesTree m_free;
    FreeResourcesTree m_capacities;
    std::vector<Rack> m_racks;
    std::unordered_map<Common::RackId, uint32_t> m_rackOf;
    /// Tasks by class and rack.
    std::vector<std::vector<int32_t>> m_classOnRack;
    int64_t m_totalSlots = 0;
    int64_t m_usedSlots = 0;
};

} // namespace Policy
